package change

import (
	"strconv"

	"amaranthtide"
)

// checkBatch returns a result with KindBadRequest if the batch is invalid.
func (e *Editor) checkBatch() Result {
	if n := len(e.cfg.Edits); n == 0 || n > MaxEdits {
		return Result{Err: amaranthtide.Errorf(amaranthtide.KindBadRequest, "a batch must have 1 to %d edits, not %d", MaxEdits, n)}
	}
	seen := amaranthtide.NewSet[amaranthtide.RowKey]()
	fieldErrors := make(map[amaranthtide.RowKey][]amaranthtide.FieldError)
	for _, edit := range e.cfg.Edits {
		errs := checkEdit(edit)
		if seen.Has(edit.Key) {
			errs = append(errs, amaranthtide.FieldError{Field: "name", Value: edit.Key.Name, Allowed: "each row once in a batch"})
		}
		seen.Add(edit.Key)
		if len(errs) > 0 {
			fieldErrors[edit.Key] = append(fieldErrors[edit.Key], errs...)
		}
	}
	if len(fieldErrors) == 0 {
		return Result{}
	}
	return Result{Err: amaranthtide.Errorf(amaranthtide.KindBadRequest, "%d rows of the batch are invalid", len(fieldErrors)), Fields: fieldErrors}
}

func checkEdit(edit amaranthtide.Edit) []amaranthtide.FieldError {
	errs := amaranthtide.CheckName("name", edit.Key.Name)
	if edit.Value == nil {
		if edit.Expected == 0 {
			errs = append(errs, amaranthtide.FieldError{Field: "expected",
				Value: strconv.FormatUint(uint64(edit.Expected), 10), Allowed: "the revision of the row to delete"})
		}
		return append(errs, checkKind(edit.Key.Kind)...)
	}
	if kind := edit.Value.RowKind(); kind != edit.Key.Kind {
		errs = append(errs, amaranthtide.FieldError{Field: "kind", Value: string(edit.Key.Kind), Allowed: string(kind)})
	}
	return append(errs, edit.Value.Check()...)
}

func checkKind(kind amaranthtide.RowKind) []amaranthtide.FieldError {
	for _, k := range amaranthtide.RowKinds() {
		if k == kind {
			return nil
		}
	}
	return []amaranthtide.FieldError{{Field: "kind", Value: string(kind), Allowed: "a kind of row"}}
}
