"""The console's pages: lists, forms, the draft and the history."""

import datetime
import typing

import jinja2
from werkzeug import exceptions
from werkzeug import utils
from werkzeug import wrappers

from amaranthslip.configuration import differences
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import schemas
from amaranthslip.configuration import submission as submission_module
from amaranthslip.configuration import validation
from amaranthslip.console import authentication
from amaranthslip.console import drafts
from amaranthslip.console import forms
from amaranthslip import errors

_PAGE_ITEMS = 50
_COLUMNS = {
    'client_accounts': ('share', 'services', 'queue_requests'),
    'services': ('kind', 'prompt_weight'),
    'backend_servers': ('service', 'address', 'failure_domain', 'leaving'),
    'request_kinds': ('service', 'idempotent', 'deadline_seconds'),
    'failure_domains': ('region',),
    'operators': ('role',),
}

Status = typing.Callable[[], dict[str, typing.Any]]


def _show_value(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, (list, tuple)):
        return ', '.join(str(each) for each in value)
    return str(value)


def _show_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


class Pages:
    """Renders pages, and takes what their forms send.

    Parameters
    ----------
    holder : Holder
        The version in force here.
    submission : Submission
        Has drafts accepted.
    status : callable
        Returns the fleet's status as values for JSON.
    authenticator : Authenticator
        Checks who signs in.
    """

    __slots__ = (
        '_holder',
        '_submission',
        '_status',
        '_authenticator',
        '_templates',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        status: Status,
        authenticator: authentication.Authenticator,
    ) -> None:
        self._holder = holder
        self._submission = submission
        self._status = status
        self._authenticator = authenticator
        self._templates = jinja2.Environment(
            loader=jinja2.PackageLoader('amaranthslip.console'),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self._templates.filters['show'] = _show_value
        self._templates.filters['moment'] = _show_time

    def render(
        self,
        template: str,
        session: authentication.Session | None = None,
        *,
        status: int = 200,
        **values: typing.Any,
    ) -> wrappers.Response:
        """Answer with a page."""
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
        form = forms.ProtectedForm(meta=forms.make_meta(session))
        return str(form.csrf_token.current_token)

    def check_token(
        self, request: wrappers.Request, session: authentication.Session
    ) -> None:
        """Refuse a form that another site made the browser send.

        Raises
        ------
        Forbidden
            The form's token is missing, old or of another session.
        """
        form = forms.ProtectedForm(request.form, meta=forms.make_meta(session))
        if not form.validate():
            raise exceptions.Forbidden(
                'The form is too old or came from elsewhere. Go back, load '
                'the page again and send it once more.'
            )

    def sign_in(self, request: wrappers.Request) -> wrappers.Response:
        """Show the sign-in form, or open a session."""
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
        """Show where each version is in force, and what is configured."""
        whole = self._holder.document
        counts = {
            section: len(getattr(whole, section)) for section in forms.TITLES
        }
        draft = self._read_draft(request, session)
        return self.render(
            'overview.html',
            session,
            counts=counts,
            fleet=self._status(),
            edits=len(draft.edits),
        )

    def show_items(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        section: str,
    ) -> wrappers.Response:
        """List a section's items, a page at a time."""
        _check_section(section)
        draft = self._read_draft(request, session)
        items = draft.apply(self._holder.document)[section]
        query = request.args.get('q', '').strip()
        found = [each for each in items if query in each['name']]
        if section != 'request_kinds':
            found.sort(key=lambda each: each['name'])
        pages = max(1, -(-len(found) // _PAGE_ITEMS))
        page = min(max(request.args.get('page', 1, type=int), 1), pages)
        first = (page - 1) * _PAGE_ITEMS
        changed = {
            edit.new_name for edit in draft.edits if edit.section == section
        }
        return self.render(
            'items.html',
            session,
            section=section,
            columns=_COLUMNS[section],
            items=found[first : first + _PAGE_ITEMS],
            total=len(found),
            page=page,
            pages=pages,
            query=query,
            changed=changed,
        )

    def edit_item(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        section: str,
    ) -> wrappers.Response:
        """Show an item's form, or put what it sends into the draft."""
        _check_section(section)
        draft = self._read_draft(request, session)
        values = draft.apply(self._holder.document)
        name = request.args.get('name', '')
        present = next(
            (each for each in values[section] if each['name'] == name), None
        )
        if name and present is None:
            raise exceptions.NotFound(f'There is no {name} in {section}.')
        form = forms.SECTION_FORMS[section](
            request.form if request.method == 'POST' else None,
            data=present,
            meta=forms.make_meta(session),
        )
        form.offer(values)
        if request.method == 'GET':
            return self._render_item(session, section, name, form, False)
        action = request.form.get('action', 'save')
        if action == 'remove':
            draft.put(drafts.Edit(section=section, name=name, values=None))
            return self._keep_draft(request, session, draft)
        edit = drafts.Edit(
            section=section, name=name, values=form.read_values()
        )
        sound = form.validate() and _is_item_sound(form, section, edit)
        if sound:
            draft.put(edit)
            sound = action == 'keep' or not self._mark_mistakes(
                form, section, edit, draft
            )
            if sound:
                return self._keep_draft(request, session, draft)
            return self._render_item(session, section, name, form, True)
        return self._render_item(session, section, name, form, False)

    def _render_item(
        self,
        session: authentication.Session,
        section: str,
        name: str,
        form: forms.ItemForm,
        may_keep: bool,
    ) -> wrappers.Response:
        fields = [each for each in form if each.name != 'csrf_token']
        hints = {
            each.name: forms.explain_field(section, each.name)
            for each in fields
        }
        wrong = any(each.errors for each in fields)
        return self.render(
            'item.html',
            session,
            status=422 if wrong else 200,
            section=section,
            name=name,
            fields=fields,
            hints=hints,
            may_keep=may_keep,
        )

    def _mark_mistakes(
        self,
        form: forms.ItemForm,
        section: str,
        edit: drafts.Edit,
        draft: drafts.Draft,
    ) -> bool:
        """Put the document's mistakes of this item beside its fields."""
        values = draft.apply(self._holder.document)
        place = _move_last(values[section], section, edit.new_name)
        path = f'{section}[{place}].'
        marked = False
        for mistake in self._check(values).mistakes:
            if mistake.key.startswith(path):
                field = mistake.key.removeprefix(path).partition('[')[0]
                _add_error(form, field, mistake)
                marked = True
        return marked

    def _check(self, values: drafts.Values) -> 'Checked':
        drafts.restore_passwords(values, self._holder.document)
        try:
            whole = validation.validate(values, source='draft')
        except errors.SettingsInvalid as invalid:
            return Checked(mistakes=invalid.exceptions)
        return Checked(whole=whole)

    def show_draft(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """Preview the draft's difference, and submit or discard it."""
        draft = self._read_draft(request, session)
        if request.method == 'GET':
            return self._render_draft(session, draft)
        if request.form.get('action') == 'discard':
            draft = drafts.Draft(base=self._holder.document.version)
            return self._keep_draft(request, session, draft, to='/')
        # What was previewed is what is submitted: on top of that version.
        previewed = request.form.get('previewed', -1, type=int)
        if previewed != self._holder.document.version:
            return self._render_draft(session, draft, moved=previewed)
        return self._submit_draft(request, session, draft)

    def _submit_draft(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        draft: drafts.Draft,
    ) -> wrappers.Response:
        whole = self._holder.document
        values = draft.apply(whole)
        drafts.restore_passwords(values, whole)
        try:
            snapshot = self._submission.submit(
                values,
                base=whole.version,
                author=session.operator.name,
                source='draft',
            )
        except errors.ConfigurationConflict as conflict:
            return self._render_draft(session, draft, conflict=conflict)
        except errors.SettingsInvalid:
            return self._render_draft(session, draft)
        except errors.AmaranthslipError as error:
            return self._render_draft(session, draft, failure=error)
        response = utils.redirect(f'/history?accepted={snapshot.version}', 303)
        response.delete_cookie(drafts.COOKIE)
        return response

    def _render_draft(
        self,
        session: authentication.Session,
        draft: drafts.Draft,
        *,
        moved: int | None = None,
        conflict: errors.ConfigurationConflict | None = None,
        failure: Exception | None = None,
    ) -> wrappers.Response:
        whole = self._holder.document
        checked = self._check(draft.apply(whole))
        difference = None
        if checked.whole is not None:
            difference = differences.compare(whole, checked.whole)
        behind = draft.edits and draft.base < whole.version
        if moved is None and behind:
            moved = draft.base
        status = 409 if conflict else 503 if failure else 200
        return self.render(
            'draft.html',
            session,
            status=status,
            draft=draft,
            mistakes=checked.mistakes,
            difference=difference,
            moved=moved,
            conflict=conflict,
            failure=failure,
        )

    def show_history(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """Show who submitted which version, and when."""
        known, failure = [], None
        try:
            known = self._submission.load_history()
        except errors.ConfigurationRefused as error:
            failure = error
        return self.render(
            'history.html',
            session,
            known=known,
            failure=failure,
            accepted=request.args.get('accepted', 0, type=int),
        )

    def _read_draft(
        self, request: wrappers.Request, session: authentication.Session
    ) -> drafts.Draft:
        return drafts.read_draft(
            request.cookies.get(drafts.COOKIE, ''),
            session.operator,
            self._holder.document.version,
        )

    def _keep_draft(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        draft: drafts.Draft,
        *,
        to: str = '/draft',
    ) -> wrappers.Response:
        text = drafts.write_draft(draft, session.operator)
        if len(text) > drafts.MOST_BYTES:
            raise exceptions.RequestEntityTooLarge(
                'The draft holds too many changes for the browser to keep. '
                'Submit or discard it first, or submit a document file.'
            )
        response = utils.redirect(to, 303)
        _set_cookie(request, response, drafts.COOKIE, text)
        return response


class Checked:
    """A draft's document, or its mistakes."""

    __slots__ = ('whole', 'mistakes')

    def __init__(
        self,
        *,
        whole: document.Document | None = None,
        mistakes: typing.Sequence[typing.Any] = (),
    ) -> None:
        self.whole = whole
        self.mistakes = tuple(mistakes)


def _check_section(section: str) -> None:
    if section not in forms.SECTION_FORMS:
        raise exceptions.NotFound(f'There is no section {section}.')


def _is_item_sound(
    form: forms.ItemForm, section: str, edit: drafts.Edit
) -> bool:
    sound = True
    for name, value in (edit.values or {}).items():
        if name == 'password' and value == drafts.UNCHANGED and edit.name:
            continue
        if not schemas.FIELD_VALIDATORS[section][name].is_valid(value):
            allowed = forms.explain_field(section, name)
            mistake = errors.SettingError('form', name, value, allowed)
            _add_error(form, name, mistake)
            sound = False
    return sound


def _move_last(
    items: list[dict[str, typing.Any]], section: str, name: str
) -> int:
    """Return an item's place, once it is the last one of its section.

    Of two items that don't go together the later one is called mistaken:
    that is to be the one in the form. The order of request kinds counts.
    """
    place = [each['name'] for each in items].index(name)
    if section == 'request_kinds':
        return place
    items.append(items.pop(place))
    return len(items) - 1


def _add_error(
    form: forms.ItemForm, field: str, mistake: errors.SettingError
) -> None:
    target = form[field if field in form else 'name']
    text = f'Found {mistake.found!r}; allowed: {mistake.allowed}'
    target.errors = [*target.errors, text]


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
