"""Console pages that show the overview, item lists and the history."""

import datetime
import typing

import jinja2
from werkzeug import exceptions
from werkzeug import utils
from werkzeug import wrappers

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import submission as submission_module
from amaranthslip.console import authentication
from amaranthslip.console import drafts
from amaranthslip.console import forms
from amaranthslip import errors

_ITEMS_PER_PAGE = 50
_COLUMNS = {
    'client_accounts': ('share', 'services', 'queue_requests'),
    'services': ('kind', 'prompt_weight'),
    'backend_servers': ('service', 'address', 'failure_domain', 'leaving'),
    'request_kinds': ('service', 'idempotent', 'deadline_seconds'),
    'failure_domains': ('region',),
    'operators': ('role',),
}

StatusReader = typing.Callable[[], dict[str, typing.Any]]


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.10g}'
    if isinstance(value, (list, tuple)):
        return ', '.join(str(each) for each in value)
    return str(value)


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


class Pages:
    """Renders pages and handles sign-in, sign-out and draft cookies.

    Parameters
    ----------
    holder : Holder
        Holds the version in force on this instance.
    submission : Submission
        Loads the history of accepted versions.
    get_status : callable
        Returns the fleet's status as JSON values.
    authenticator : Authenticator
        Checks passwords and opens sessions.
    """

    __slots__ = (
        '_holder',
        '_submission',
        '_get_status',
        '_authenticator',
        '_templates',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        get_status: StatusReader,
        authenticator: authentication.Authenticator,
    ) -> None:
        self._holder = holder
        self._submission = submission
        self._get_status = get_status
        self._authenticator = authenticator
        self._templates = jinja2.Environment(
            loader=jinja2.PackageLoader('amaranthslip.console'),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self._templates.filters['show'] = _format_value
        self._templates.filters['moment'] = _format_time

    def render(
        self,
        template: str,
        session: authentication.Session | None = None,
        *,
        status: int = 200,
        **values: typing.Any,
    ) -> wrappers.Response:
        """Return a response with a rendered page."""
        operator = session.operator if session is not None else None
        text = self._templates.get_template(template).render(
            operator=operator,
            can_edit=authentication.may_edit(operator),
            titles=forms.TITLES,
            version=self._holder.document.version,
            token=self._make_token(session),
            **values,
        )
        return wrappers.Response(text, status, mimetype='text/html')

    def _make_token(self, session: authentication.Session | None) -> str:
        if session is None:
            return ''
        form = forms.ProtectedForm(meta=forms.make_csrf_options(session))
        return str(form.csrf_token.current_token)

    def check_token(
        self, request: wrappers.Request, session: authentication.Session
    ) -> None:
        """Reject a form that another site made the browser submit.

        Raises
        ------
        Forbidden
            The form's token is missing, expired or of another session.
        """
        form = forms.ProtectedForm(
            request.form, meta=forms.make_csrf_options(session)
        )
        if not form.validate():
            raise exceptions.Forbidden(
                'The form expired or was not loaded in this session. Go back, '
                'reload the page and submit the form again.'
            )

    def sign_in(self, request: wrappers.Request) -> wrappers.Response:
        """Show the sign-in form, or check it and open a session."""
        form = forms.SignInForm(request.form)
        if request.method == 'GET':
            return self.render('sign_in.html', form=form, failed=False)
        operator = self._authenticator.check_password(
            form.name.data or '', form.password.data or ''
        )
        if operator is None:
            return self.render(
                'sign_in.html', form=form, failed=True, status=403
            )
        response = utils.redirect('/', 303)
        _set_cookie(
            request,
            response,
            authentication.SESSION_COOKIE,
            self._authenticator.open_session(operator),
        )
        return response

    def sign_out(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """End the session in this browser."""
        response = utils.redirect('/sign-in', 303)
        response.delete_cookie(authentication.SESSION_COOKIE)
        response.delete_cookie(drafts.COOKIE)
        return response

    def show_overview(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """Show each instance's version and the number of items per section."""
        current = self._holder.document
        counts = {
            section: len(getattr(current, section)) for section in forms.TITLES
        }
        draft = self.read_draft(request, session)
        fleet = self._get_status()
        reported = [
            each.get('version') or 0 for each in fleet.get('members', ())
        ]
        return self.render(
            'overview.html',
            session,
            counts=counts,
            fleet=fleet,
            newest=max([current.version, *reported]),
            edits=len(draft.edits),
        )

    def show_items(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        section: str,
    ) -> wrappers.Response:
        """Show one page of a section's items."""
        check_section(section)
        draft = self.read_draft(request, session)
        items = draft.apply(self._holder.document)[section]
        query = request.args.get('q', '').strip()
        matches = [each for each in items if query in each['name']]
        if section != 'request_kinds':
            matches.sort(key=lambda each: each['name'])
        pages = max(1, -(-len(matches) // _ITEMS_PER_PAGE))
        page = min(max(request.args.get('page', 1, type=int), 1), pages)
        start = (page - 1) * _ITEMS_PER_PAGE
        changed = {
            edit.new_name for edit in draft.edits if edit.section == section
        }
        return self.render(
            'items.html',
            session,
            section=section,
            columns=_COLUMNS[section],
            items=matches[start : start + _ITEMS_PER_PAGE],
            total=len(matches),
            page=page,
            pages=pages,
            query=query,
            changed=changed,
        )

    def show_history(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """Show the author and the time of each accepted version."""
        acceptances, failure = [], None
        try:
            acceptances = self._submission.load_history()
        except errors.ConfigurationRefused as error:
            failure = error
        return self.render(
            'history.html',
            session,
            known=acceptances,
            failure=failure,
            accepted=request.args.get('accepted', 0, type=int),
        )

    def read_draft(
        self, request: wrappers.Request, session: authentication.Session
    ) -> drafts.Draft:
        """Return the draft in the request's cookie."""
        return drafts.read_draft(
            request.cookies.get(drafts.COOKIE, ''),
            session.operator,
            self._holder.document.version,
        )

    def store_draft(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        draft: drafts.Draft,
        *,
        location: str = '/draft',
    ) -> wrappers.Response:
        """Return a redirection that stores a draft in its cookie."""
        text = drafts.write_draft(draft, session.operator)
        if len(text) > drafts.MAX_COOKIE_BYTES:
            raise exceptions.RequestEntityTooLarge(
                'The draft has too many changes to fit into a cookie. '
                'Submit or discard the draft, or submit a document file.'
            )
        response = utils.redirect(location, 303)
        _set_cookie(request, response, drafts.COOKIE, text)
        return response


def check_section(section: str) -> None:
    """Raise NotFound for a section that the document does not have."""
    if section not in forms.SECTION_FORMS:
        raise exceptions.NotFound(f'There is no section {section}.')


def _set_cookie(
    request: wrappers.Request,
    response: wrappers.Response,
    name: str,
    value: str,
) -> None:
    response.set_cookie(
        name,
        value,
        httponly=True,
        samesite='Strict',
        secure=request.is_secure,
        max_age=authentication.SESSION_SECONDS,
    )
