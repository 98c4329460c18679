"""Console forms, one for each section of the document."""

import datetime
import typing

import wtforms
from wtforms.csrf import session as csrf_session

from amaranthslip.configuration import document
from amaranthslip.configuration import schemas
from amaranthslip.console import authentication

_CSRF_TOKEN_SECONDS = 2 * 3600


class LinesField(wtforms.TextAreaField):
    """A list of strings, edited as one string per line."""

    def process_data(self, value: typing.Any) -> None:
        """Load the stored list."""
        self.data = list(value or ())

    def process_formdata(self, valuelist: list[str]) -> None:
        """Load the non-empty lines of the submitted text."""
        if valuelist:
            lines = valuelist[0].splitlines()
            self.data = [line.strip() for line in lines if line.strip()]

    def _value(self) -> str:
        return '\n'.join(self.data or ())


class CheckboxesField(wtforms.SelectMultipleField):
    """A multiple-choice field, shown as checkboxes."""

    widget = wtforms.widgets.ListWidget(prefix_label=False)
    option_widget = wtforms.widgets.CheckboxInput()

    def pre_validate(self, form: wtforms.Form) -> None:
        """Accept any choice; document validation reports invalid ones."""


class ProtectedForm(wtforms.Form):
    """A form with a CSRF token that is bound to a session."""

    class Meta:
        csrf = True
        csrf_class = csrf_session.SessionCSRF
        csrf_time_limit = datetime.timedelta(seconds=_CSRF_TOKEN_SECONDS)


def make_csrf_options(
    session: authentication.Session,
) -> dict[str, typing.Any]:
    """Return the form options that bind its CSRF token to a session."""
    return {
        'csrf_secret': authentication.derive_key(session.operator),
        'csrf_context': {'csrf': session.nonce},
    }


class SignInForm(wtforms.Form):
    """Name and password."""

    name = wtforms.StringField(
        'Name', render_kw={'autocomplete': 'username', 'autofocus': True}
    )
    password = wtforms.PasswordField(
        'Password', render_kw={'autocomplete': 'current-password'}
    )


class ItemForm(ProtectedForm):
    """The base of the forms of all sections."""

    name = wtforms.StringField('Name')

    def set_choices(
        self, values: dict[str, list[dict[str, typing.Any]]]
    ) -> None:
        """Fill the choices of fields that name items of other sections."""
        for field in self:
            section = _CHOICE_SECTIONS.get(field.name)
            if section is not None and hasattr(field, 'choices'):
                names = [each['name'] for each in values.get(section, ())]
                field.choices = [(name, name) for name in names]

    def read_values(self) -> dict[str, typing.Any]:
        """Return the item's fields as values for the document."""
        return {
            field.name: field.data
            for field in self
            if field.name != 'csrf_token'
        }


# Field name: the section whose items the field names.
_CHOICE_SECTIONS = {
    'service': 'services',
    'services': 'services',
    'failure_domain': 'failure_domains',
}


class FailureDomainForm(ItemForm):
    """A zone whose instances and backend servers fail together."""

    region = wtforms.StringField('Region')


class ServiceForm(ItemForm):
    """A set of backend servers that serve the same requests."""

    kind = wtforms.SelectField(
        'Kind',
        choices=[document.ServiceKind.MODEL, document.ServiceKind.PLAIN],
    )
    prompt_weight = wtforms.FloatField('Prompt weight', default=1.0)


class BackendServerForm(ItemForm):
    """An engine of a model service, or a server of a plain service."""

    service = wtforms.SelectField('Service', validate_choice=False)
    address = wtforms.StringField('Address')
    failure_domain = wtforms.SelectField(
        'Failure domain', validate_choice=False
    )
    slots = wtforms.IntegerField('Slots', default=16)
    leaving = wtforms.BooleanField('Leaving: gets no new requests')
    checks_fencing = wtforms.BooleanField('Rejects stale fencing tokens')


class RequestKindForm(ItemForm):
    """A kind of request to one service."""

    service = wtforms.SelectField('Service', validate_choice=False)
    idempotent = wtforms.BooleanField('May be repeated (idempotent)')
    deadline_seconds = wtforms.FloatField('Deadline', default=120.0)
    estimate_tokens = wtforms.IntegerField('Estimated cost', default=256)
    method = wtforms.StringField('Method', default='*')
    path_prefix = wtforms.StringField('Path prefix', default='/')


class ClientAccountForm(ItemForm):
    """A client that sends requests, and its share of each service."""

    share = wtforms.FloatField('Share', default=1.0)
    services = CheckboxesField('Services')
    keys = LinesField('Bearer key hashes, one per line', render_kw={'rows': 3})
    queue_requests = wtforms.IntegerField('Queued requests', default=200)
    queue_seconds = wtforms.FloatField('Maximum queue wait', default=60.0)


class OperatorForm(ItemForm):
    """A person or program that may see or change the configuration."""

    role = wtforms.SelectField('Role', choices=['viewer', 'editor'])
    password = wtforms.StringField('Password hash')


SECTION_FORMS: dict[str, type[ItemForm]] = {
    'client_accounts': ClientAccountForm,
    'services': ServiceForm,
    'backend_servers': BackendServerForm,
    'request_kinds': RequestKindForm,
    'failure_domains': FailureDomainForm,
    'operators': OperatorForm,
}
TITLES = {
    'client_accounts': 'Client accounts',
    'services': 'Services',
    'backend_servers': 'Backend servers',
    'request_kinds': 'Request kinds',
    'failure_domains': 'Failure domains',
    'operators': 'Operators',
}


def describe_field(section: str, field: str) -> str:
    """Return the hint below a field: the values that it allows."""
    schema = schemas.FIELDS[section].get(field, {})
    return str(schema.get('description', ''))
