"""Console pages for changes: item forms, and the draft's preview."""

import re
import typing

from werkzeug import exceptions
from werkzeug import utils
from werkzeug import wrappers

from amaranthslip.configuration import differences
from amaranthslip.configuration import document as document_module
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


class EditingPages:
    """Adds changes to drafts and submits drafts.

    Parameters
    ----------
    holder : Holder
        Holds the version in force on this instance.
    submission : Submission
        Submits drafts as new versions.
    pages_ : Pages
        Renders pages, and reads and stores drafts.
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
        """Show an item's form, or add the submitted form to the draft."""
        pages.check_section(section)
        draft = self._pages.read_draft(request, session)
        values = draft.apply(self._holder.document)
        name = request.args.get('name', '')
        stored_item = next(
            (each for each in values[section] if each['name'] == name), None
        )
        if name and stored_item is None:
            raise exceptions.NotFound(
                f'There is no item {name} in section {section}.'
            )
        form = forms.SECTION_FORMS[section](
            request.form if request.method == 'POST' else None,
            data=stored_item,
            meta=forms.make_csrf_options(session),
        )
        form.set_choices(values)
        if request.method == 'GET':
            return self._render_item(session, section, name, form, False)
        action = request.form.get('action', 'save')
        if action == 'remove':
            draft.add_edit(
                drafts.Edit(section=section, name=name, values=None)
            )
            return self._pages.store_draft(request, session, draft)
        edit = drafts.Edit(
            section=section, name=name, values=form.read_values()
        )
        valid = form.validate() and _validate_fields(form, section, edit)
        if valid:
            draft.add_edit(edit)
            valid = action == 'keep' or not self._add_mistakes(
                form, section, edit, draft
            )
            if valid:
                return self._pages.store_draft(request, session, draft)
            return self._render_item(session, section, name, form, True)
        return self._render_item(session, section, name, form, False)

    def _render_item(
        self,
        session: authentication.Session,
        section: str,
        name: str,
        form: forms.ItemForm,
        can_keep: bool,
    ) -> wrappers.Response:
        fields = [each for each in form if each.name != 'csrf_token']
        hints = {
            each.name: forms.describe_field(section, each.name)
            for each in fields
        }
        has_errors = any(each.errors for each in fields)
        return self._pages.render(
            'item.html',
            session,
            status=422 if has_errors else 200,
            section=section,
            name=name,
            fields=fields,
            hints=hints,
            may_keep=can_keep,
        )

    def _add_mistakes(
        self,
        form: forms.ItemForm,
        section: str,
        edit: drafts.Edit,
        draft: drafts.Draft,
    ) -> bool:
        """Add the document's mistakes in this item to the form's fields.

        Returns whether there are any.
        """
        values = draft.apply(self._holder.document)
        index = _move_last(values[section], section, edit.new_name)
        path = f'{section}[{index}].'
        found = False
        for mistake in self._check(values).mistakes:
            if mistake.key.startswith(path):
                field = mistake.key.removeprefix(path).partition('[')[0]
                _add_error(form, field, mistake)
                found = True
        return found

    def _check(self, values: drafts.Values) -> 'CheckResult':
        drafts.restore_passwords(values, self._holder.document)
        try:
            validated = validation.validate(values, source='draft')
        except errors.SettingsInvalid as invalid:
            return CheckResult(mistakes=invalid.exceptions)
        return CheckResult(document=validated)

    def show_draft(
        self, request: wrappers.Request, session: authentication.Session
    ) -> wrappers.Response:
        """Show the draft's difference, or submit or discard the draft."""
        draft = self._pages.read_draft(request, session)
        if request.method == 'GET':
            return self._render_draft(session, draft)
        if request.form.get('action') == 'discard':
            draft = drafts.Draft(base=self._holder.document.version)
            return self._pages.store_draft(
                request, session, draft, location='/'
            )
        # Submits only what was previewed: if another version came into force
        # since the preview, the new difference is shown first.
        previewed = request.form.get('previewed', -1, type=int)
        if previewed != self._holder.document.version:
            return self._render_draft(session, draft, outdated_base=previewed)
        return self._submit_draft(request, session, draft)

    def _submit_draft(
        self,
        request: wrappers.Request,
        session: authentication.Session,
        draft: drafts.Draft,
    ) -> wrappers.Response:
        current = self._holder.document
        values = draft.apply(current)
        drafts.restore_passwords(values, current)
        try:
            snapshot = self._submission.submit(
                values,
                base=current.version,
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
        outdated_base: int | None = None,
        conflict: errors.ConfigurationConflict | None = None,
        failure: Exception | None = None,
    ) -> wrappers.Response:
        current = self._holder.document
        result = self._check(draft.apply(current))
        difference = None
        if result.document is not None:
            difference = differences.compare(current, result.document)
        is_behind = draft.edits and draft.base < current.version
        if outdated_base is None and is_behind:
            outdated_base = draft.base
        status = 409 if conflict else 503 if failure else 200
        return self._pages.render(
            'draft.html',
            session,
            status=status,
            draft=draft,
            mistakes=_locate_mistakes(result.mistakes, draft.apply(current)),
            difference=difference,
            moved=outdated_base,
            conflict=conflict,
            failure=failure,
        )


class LocatedMistake:
    """A mistake in a draft, with the section and name of its item."""

    __slots__ = ('mistake', 'section', 'name')

    def __init__(
        self, mistake: errors.SettingError, section: str, name: str
    ) -> None:
        self.mistake = mistake
        self.section = section
        self.name = name


class CheckResult:
    """The result of validating a draft: a document, or the mistakes."""

    __slots__ = ('document', 'mistakes')

    def __init__(
        self,
        *,
        document: document_module.Document | None = None,
        mistakes: typing.Sequence[typing.Any] = (),
    ) -> None:
        self.document = document
        self.mistakes = tuple(mistakes)


def _locate_mistakes(
    mistakes: typing.Iterable[errors.SettingError], values: drafts.Values
) -> list[LocatedMistake]:
    located = []
    for mistake in mistakes:
        match = _ITEM_PATH.match(mistake.key)
        section, name = '', ''
        if match is not None:
            section = match[1]
            name = values[section][int(match[2])]['name']
        located.append(LocatedMistake(mistake, section, name))
    return located


def _validate_fields(
    form: forms.ItemForm, section: str, edit: drafts.Edit
) -> bool:
    valid = True
    for name, value in (edit.values or {}).items():
        if name == 'password' and value == drafts.UNCHANGED and edit.name:
            continue
        if not schemas.FIELD_VALIDATORS[section][name].is_valid(value):
            allowed = forms.describe_field(section, name)
            mistake = errors.SettingError('form', name, value, allowed)
            _add_error(form, name, mistake)
            valid = False
    return valid


def _move_last(
    items: list[dict[str, typing.Any]], section: str, name: str
) -> int:
    """Move an item to the end of its section and return its index.

    Validation reports the later of two conflicting items, so moving the item
    puts the mistake beside the fields of the form that edits it. Request
    kinds are not moved, because their order is significant.
    """
    index = [each['name'] for each in items].index(name)
    if section == 'request_kinds':
        return index
    items.append(items.pop(index))
    return len(items) - 1


def _add_error(
    form: forms.ItemForm, field: str, mistake: errors.SettingError
) -> None:
    target = form[field if field in form else 'name']
    text = f'Found {mistake.found!r}; allowed: {mistake.allowed}'
    target.errors = [*target.errors, text]
