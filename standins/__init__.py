"""Stand-ins for the systems that amaranthslip serves; never in the product."""
