"""Load JSON files with comments and report validation errors with file, key and reason."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, TypeVar

import json5
from pydantic import BaseModel, ValidationError

from vanillawell.exceptions import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

Model = TypeVar("Model", bound=BaseModel)


def read_document(path: Path) -> Any:
    """Parse a JSON-with-comments file.

    Raises:
        SettingsError: The file cannot be read or is not valid JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: is not UTF-8 text") from error
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        reason = str(error).removeprefix("<string>:")
        raise SettingsError(f"{path}: malformed JSON at line {reason}") from error


def load_model(path: Path, model: type[Model]) -> Model:
    """Load a file and validate it as `model`; the error lists every invalid key."""
    return validate(read_document(path), model, str(path))


def validate(document: Any, model: type[Model], source: str) -> Model:
    """Validate parsed JSON data as `model`; `source` names its origin in error messages."""
    try:
        return model.model_validate(document)
    except ValidationError as error:
        reasons = [_format_error(item, model) for item in error.errors(include_url=False)]
        raise SettingsError("\n".join(f"{source}: {reason}" for reason in reasons)) from error


def _format_error(item: Any, model: type[BaseModel]) -> str:
    key = ".".join(str(part) for part in item["loc"]) or "(whole file)"
    if item["type"] != "extra_forbidden":
        return f"{key}: {item['msg']}"
    nearest = difflib.get_close_matches(str(item["loc"][-1]), _field_names(model), n=1)
    hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
    return f"{key}: unknown key{hint}"


def _field_names(model: type[BaseModel]) -> list[str]:
    """Return the field names of a model and of all models nested in it."""
    definitions = model.model_json_schema().get("$defs", {}).values()
    nested = (name for schema in definitions for name in schema.get("properties", {}))
    return [*model.model_fields, *nested]
