"""Request routing and access control on the operators' port."""

import typing
import urllib.parse

from werkzeug import exceptions
from werkzeug import routing
from werkzeug import utils
from werkzeug import wrappers

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import api
from amaranthslip.console import authentication
from amaranthslip.console import editing
from amaranthslip.console import pages as pages_module
from amaranthslip import metrics as metrics_module

_HEADERS = {
    'Cache-Control': 'no-store',
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    'Referrer-Policy': 'same-origin',
    'X-Content-Type-Options': 'nosniff',
}
# Also limits unauthenticated clients, which may send the sign-in form.
_MAX_FORM_BYTES = 256 * 1024
_BASIC_CHALLENGE = {
    'WWW-Authenticate': 'Basic realm="amaranthslip", charset="UTF-8"'
}

# The first part of an endpoint name sets the required authentication: none
# for `public`, HTTP Basic for `api`, a session for `page`. A second part
# `edit` also requires the editor role.
URLS = routing.Map(
    [
        routing.Rule('/health', endpoint='public.health', methods=['GET']),
        routing.Rule('/ready', endpoint='public.ready', methods=['GET']),
        routing.Rule('/sign-in', endpoint='public.sign_in'),
        routing.Rule(
            '/api/configuration', endpoint='api.read', methods=['GET']
        ),
        routing.Rule(
            '/api/configuration', endpoint='api.edit.write', methods=['PUT']
        ),
        routing.Rule('/api/history', endpoint='api.history', methods=['GET']),
        routing.Rule('/api/status', endpoint='api.status', methods=['GET']),
        routing.Rule('/metrics', endpoint='api.metrics', methods=['GET']),
        routing.Rule('/', endpoint='page.overview', methods=['GET']),
        routing.Rule('/history', endpoint='page.history', methods=['GET']),
        routing.Rule(
            '/list/<section>', endpoint='page.items', methods=['GET']
        ),
        routing.Rule(
            '/edit/<section>',
            endpoint='page.edit.item',
            methods=['GET', 'POST'],
        ),
        routing.Rule(
            '/draft', endpoint='page.edit.draft', methods=['GET', 'POST']
        ),
        routing.Rule('/sign-out', endpoint='page.sign_out', methods=['POST']),
    ]
)

Handler = typing.Callable[..., wrappers.Response]


class Application:
    """The WSGI application of the operators' port.

    Takes the parameters of `server.Console`, except `settings`.
    """

    __slots__ = (
        '_holder',
        '_submission',
        '_get_status',
        'stopping',
        '_metrics',
        '_authenticator',
        '_pages',
        '_handlers',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        get_status: pages_module.StatusReader,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._submission = submission
        self._get_status = get_status
        self.stopping = False
        self._metrics = metrics
        self._authenticator = authentication.Authenticator(holder)
        self._pages = pages_module.Pages(
            holder, submission, get_status, self._authenticator
        )
        editing_pages = editing.EditingPages(holder, submission, self._pages)
        self._handlers: dict[str, Handler] = {
            'public.health': self._show_health,
            'public.ready': self._show_readiness,
            'public.sign_in': self._pages.sign_in,
            'api.read': self._read_configuration,
            'api.edit.write': self._write_configuration,
            'api.history': self._read_history,
            'api.status': self._read_status,
            'api.metrics': self._read_metrics,
            'page.overview': self._pages.show_overview,
            'page.history': self._pages.show_history,
            'page.items': self._pages.show_items,
            'page.edit.item': editing_pages.edit_item,
            'page.edit.draft': editing_pages.show_draft,
            'page.sign_out': self._pages.sign_out,
        }

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Handle one request."""
        request = wrappers.Request(environ)
        request.max_content_length = _MAX_FORM_BYTES
        if request.path.startswith('/api/'):
            request.max_content_length = api.MAX_BODY_BYTES
        try:
            response = self._dispatch(request)
        except exceptions.HTTPException as error:
            response = self._make_error_response(request, error)
        for name, value in _HEADERS.items():
            response.headers.setdefault(name, value)
        return response(environ, start_response)

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        urls = URLS.bind_to_environ(request.environ)
        endpoint, arguments = urls.match()
        handler = self._handlers[endpoint]
        access, _, action = endpoint.partition('.')
        if access == 'public':
            return handler(request)
        requires_editor = action.startswith('edit.')
        if access == 'api':
            return self._dispatch_api(request, handler, requires_editor)
        session = self._authenticator.read_session(request)
        if session is None:
            return utils.redirect('/sign-in', 303)
        if requires_editor and not authentication.may_edit(session.operator):
            raise exceptions.Forbidden('Your role does not allow changes.')
        if request.method == 'POST':
            _check_origin(request)
            self._pages.check_token(request, session)
        return handler(request, session, **arguments)

    def _dispatch_api(
        self,
        request: wrappers.Request,
        handler: Handler,
        requires_editor: bool,
    ) -> wrappers.Response:
        operator = self._authenticator.check_basic(request)
        if operator is None:
            content = {
                'error': 'unauthorised',
                'message': "send an operator's name and password with "
                'HTTP Basic authentication',
            }
            response = api.make_json_response(content, 401)
            response.headers.update(_BASIC_CHALLENGE)
            return response
        if requires_editor and not authentication.may_edit(operator):
            content = {
                'error': 'forbidden',
                'message': 'nothing was applied: only editors may submit',
            }
            return api.make_json_response(content, 403)
        return handler(request, operator)

    def _make_error_response(
        self, request: wrappers.Request, error: exceptions.HTTPException
    ) -> wrappers.Response:
        session = self._authenticator.read_session(request)
        if session is None or request.path.startswith('/api/'):
            content = {'error': error.name, 'message': error.description}
            return api.make_json_response(content, error.code or 500)
        return self._pages.render(
            'error.html',
            session,
            status=error.code or 500,
            title=error.name,
            text=error.description,
        )

    def _show_health(self, request: wrappers.Request) -> wrappers.Response:
        return api.make_json_response(
            {'alive': True, 'ready': self._holder.ready}
        )

    def _show_readiness(self, request: wrappers.Request) -> wrappers.Response:
        if self.stopping:
            content = {
                'ready': False,
                'reason': 'this instance is stopping: send requests to '
                'another instance',
            }
            return api.make_json_response(content, 503)
        if self._holder.ready:
            return api.make_json_response({'ready': True})
        content = {
            'ready': False,
            'reason': 'no configuration is in force on this instance yet: '
            'it is requested from the key-value service and the peers. In a '
            'new fleet, submit the first one with `amaranthslip submit`',
        }
        return api.make_json_response(content, 503)

    def _read_configuration(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.read_configuration(self._holder)

    def _write_configuration(
        self, request: wrappers.Request, operator: typing.Any
    ) -> wrappers.Response:
        return api.write_configuration(
            request, operator, self._holder, self._submission
        )

    def _read_history(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.read_history(self._submission)

    def _read_status(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return api.make_json_response(self._get_status())

    def _read_metrics(
        self, request: wrappers.Request, operator: object
    ) -> wrappers.Response:
        return wrappers.Response(
            self._metrics.render(),
            content_type='text/plain; version=0.0.4; charset=utf-8',
        )


def _check_origin(request: wrappers.Request) -> None:
    """Reject a form that was submitted from a page of another site.

    Browsers name the submitting site in the Origin header. The CSRF token is
    checked as well, and alone where the header is missing.
    """
    origin = request.headers.get('Origin')
    if origin is None:
        return
    if urllib.parse.urlsplit(origin).netloc != request.host:
        raise exceptions.Forbidden('The form was submitted from another site.')
