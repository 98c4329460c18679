"""A minimal browser for the console: cookies, forms and redirections."""

import base64
import html.parser
import http.cookies
import typing
import urllib.parse

import geventhttpclient


class Page(html.parser.HTMLParser):
    """One response: its status, its text and the fields of its forms."""

    def __init__(self, status: int, headers: dict[str, str], text: str):
        super().__init__()
        self.status = status
        self.headers = headers
        self.text = text
        self.fields: list[tuple[str, str]] = []
        self._select = ''
        self._textarea = ''
        if headers.get('content-type', '').startswith('text/html'):
            self.feed(text)

    def handle_starttag(self, tag: str, attrs: typing.Any) -> None:
        attributes = dict(attrs)
        if tag == 'select':
            self._select = attributes['name']
        elif tag == 'option' and 'selected' in attributes:
            self.fields.append((self._select, attributes['value']))
        elif tag == 'textarea':
            self._textarea = attributes['name']
            self.fields.append((self._textarea, ''))
        elif tag == 'input' and attributes.get('name'):
            kind = attributes.get('type')
            if kind != 'checkbox' or 'checked' in attributes:
                self.fields.append(
                    (attributes['name'], attributes.get('value', ''))
                )

    def handle_endtag(self, tag: str) -> None:
        if tag == 'textarea':
            self._textarea = ''

    def handle_data(self, data: str) -> None:
        if self._textarea:
            name, before = self.fields.pop()
            self.fields.append((name, before + data.lstrip('\r\n')))

    def fill(self, **values: object) -> list[tuple[str, str]]:
        """Return the fields, some replaced; a list sets several values."""
        fields = [pair for pair in self.fields if pair[0] not in values]
        for name, value in values.items():
            for each in value if isinstance(value, list) else [value]:
                fields.append((name, str(each)))
        return fields


class Browser:
    """The browser of an operator, or the HTTP client of automation."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.cookies: dict[str, str] = {}

    def request(
        self,
        method: str,
        path: str,
        *,
        body: str = '',
        headers: dict[str, str] | None = None,
    ) -> Page:
        """Send one request without following redirections."""
        host, _, port = self.address.rpartition(':')
        client = geventhttpclient.HTTPClient(
            host, int(port), network_timeout=60, connection_timeout=10
        )
        sent_headers = dict(headers or {})
        if self.cookies:
            pairs = (f'{key}={value}' for key, value in self.cookies.items())
            sent_headers['Cookie'] = '; '.join(pairs)
        response = client.request(method, path, body, sent_headers)
        text = response.read().decode()
        response_headers = {
            key.lower(): value for key, value in response.items()
        }
        for key, value in response.items():
            if key.lower() == 'set-cookie':
                self._store_cookie(value)
        client.close()
        return Page(response.status_code, response_headers, text)

    def _store_cookie(self, text: str) -> None:
        for name, morsel in http.cookies.SimpleCookie(text).items():
            if morsel.value:
                self.cookies[name] = morsel.coded_value
            else:
                self.cookies.pop(name, None)

    def get(self, path: str) -> Page:
        """Load a page, following redirections."""
        page = self.request('GET', path)
        while page.status == 303:
            page = self.request('GET', page.headers['location'])
        return page

    def post(
        self, path: str, fields: typing.Iterable[tuple[str, str]]
    ) -> Page:
        """Submit a form, following redirections."""
        page = self.request(
            'POST',
            path,
            body=urllib.parse.urlencode(list(fields)),
            headers={
                'Content-Type': 'application/x-www-form-urlencoded',
                'Origin': f'http://{self.address}',
            },
        )
        if page.status == 303:
            return self.get(page.headers['location'])
        return page

    def sign_in(self, name: str) -> Page:
        """Sign in as an operator of the example document."""
        page = self.get('/sign-in')
        fields = page.fill(name=name, password=f'password-{name}')
        return self.post('/sign-in', fields)


def make_basic(name: str, password: str | None = None) -> dict[str, str]:
    """Return the Authorization header for HTTP Basic."""
    text = f'{name}:{password or "password-" + name}'
    encoded = base64.b64encode(text.encode()).decode()
    return {'Authorization': f'Basic {encoded}'}
