"""The console's pages that change: an item's form, and the draft."""

import re
import typing

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
from amaranthslip.console import pages
from amaranthslip import errors

_ITEM_PATH = re.compile(r'(\w+)\[(\d+)]')


class Editing:
    """Takes changes into a draft, and has drafts accepted.

    Parameters
    ----------
    holder : Holder
        The version in force here.
    submission : Submission
        Has drafts accepted.
    pages_ : Pages
        Renders, and keeps drafts.
    """

    __slots__ = ('_holder', '_submission', '_pages')

    def __init__(
        self,
        holder: holder_module.Holder,
        submission: submission_module.Submission,
        pages_: pages.Pages,
    ) -> None:
        self._holder = holder
        self._submission = submission
        self._pages = pages_

    def edit_item(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        section: str,
    ) -> wrappers.Response:
        """Show an item's form, or put what it sends into the draft."""
        pages.check_section(section)
        draft = self._pages.read_draft(request, session)
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
            return self._pages.keep_draft(request, session, draft)
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
                return self._pages.keep_draft(request, session, draft)
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
        return self._pages.render(
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
        draft = self._pages.read_draft(request, session)
        if request.method == 'GET':
            return self._render_draft(session, draft)
        if request.form.get('action') == 'discard':
            draft = drafts.Draft(base=self._holder.document.version)
            return self._pages.keep_draft(request, session, draft, to='/')
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
        return self._pages.render(
            'draft.html',
            session,
            status=status,
            draft=draft,
            mistakes=_locate(checked.mistakes, draft.apply(whole)),
            difference=difference,
            moved=moved,
            conflict=conflict,
            failure=failure,
        )


class LocatedMistake:
    """A mistake of the draft, with the item that it belongs to."""

    __slots__ = ('mistake', 'section', 'name')

    def __init__(
        self, mistake: errors.SettingError, section: str, name: str
    ) -> None:
        self.mistake = mistake
        self.section = section
        self.name = name


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


def _locate(
    mistakes: typing.Iterable[errors.SettingError], values: drafts.Values
) -> list[LocatedMistake]:
    located = []
    for mistake in mistakes:
        place = _ITEM_PATH.match(mistake.key)
        section, name = '', ''
        if place is not None:
            section = place[1]
            name = values[section][int(place[2])]['name']
        located.append(LocatedMistake(mistake, section, name))
    return located


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
