package logger

// Messages of the log lines that record the events of a request and the changes
// of the state that the process acts on. The explain command and operators'
// tools match them.
const (
	LineQueued            = "request queued"
	LineSent              = "request sent"
	LineAttemptFailed     = "try broke"
	LineAttemptSuspected  = "try suspected"
	LineAttemptExcused    = "try excused"
	LineExcuseRefuted     = "excused server goes on"
	LineRetryDenied       = "retry denied"
	LineRetryReserve      = "retry reserve changed"
	LineRefused           = "request refused"
	LineEnded             = "request ended"
	LineHopBegun          = "request handed to a peer"
	LineHopTaken          = "request taken from a peer"
	LineHopEnded          = "request of a peer ended"
	LineHopRefused        = "request of a peer refused"
	LineServerCrashed     = "server crashed under a request"
	LineStrikesRestored   = "strikes restored"
	LinePartBlocked       = "part of prompts blocked"
	LinePartReleased      = "part of prompts released"
	LinePartsCleared      = "parts of prompts cleared"
	LineInstanceLost      = "instance held for lost"
	LineInstanceRecovered = "instance answers again"
	// LineInstanceIdentified tells who the server at an instance's address says it is.
	LineInstanceIdentified = "instance identified"
	LinePathDisturbed      = "own path disturbed"
	LinePathCut            = "own path cut"
	LinePathRestored       = "own path restored"
	LineInstanceLeaving    = "instance says that it leaves"
	LineServerDeferral     = "server wants nothing until"
	LineServerLimit        = "server limit changed"
	LineServerCold         = "server is cold"
	LineServerWarm         = "server is warm"
	LineGroups             = "groups"
	LineGroupUnavailable   = "group unavailable"
	LineOrderSent          = "order sent"
	LineOrderFailed        = "order not carried out"
	LineOrderWithheld      = "order withheld"
	LineOrderConflict      = "order conflict explained"
	LineReportNotRead      = "report not read"
	LineControlAcquired    = "control taken"
	LineConfigInForce      = "configuration in force"
	LineEvacuated          = "data centre evacuated"
	LineEvacuationEnded    = "evacuation ended"
	LineStoreLost          = "store lost"
	LineStoreRegained      = "store regained"
	LineStoreEra           = "store era changed"
	LinePeerClock          = "peer clock"
	LinePeerSeen           = "peer seen"
	LinePeerSilent         = "peer silent"
	LineClientsTurnedAway  = "clients turned away"
	LineDropped            = "log lines dropped"
	LineEntryReady         = "entry instance serves"
	LineEntryStopping      = "entry instance leaves"
	LineEntryStopped       = "entry instance has left"
	LineReloaded           = "settings reloaded"
)

// Fields of these log lines.
const (
	FieldRequest  = "request"
	FieldUpstream = "lane"
	FieldInstance = "instance"
	FieldGroup    = "group"
	FieldModel    = "model"
	FieldService  = "service"
	// FieldDataCentre names the data centre that is evacuated.
	FieldDataCentre = "data_centre"
	FieldKind       = "kind"
	FieldOutcome    = "outcome"
	FieldComplete   = "complete"
	// FieldParts holds the parts of a prompt that other requests may share.
	FieldParts = "parts"
	// FieldSuspects holds those of them that may have crashed a server, and FieldPart
	// one of them.
	FieldSuspects = "suspects"
	FieldPart     = "part"
	// FieldVersion is the version of LineConfigInForce, and FieldConfigVersion that by
	// which a request is handled.
	FieldVersion       = "version"
	FieldConfigVersion = "config_version"
	// FieldServers counts the servers of a pool by the verdict on them.
	FieldServers = "servers"
	FieldError   = "error"
	// FieldGap says what a group lacks.
	FieldGap = "gap"
	// FieldEvidence says why an attempt does not count against its route's maximum.
	FieldEvidence = "evidence"

	// Fields of LinePeerClock: the uptime of a peer, and the uptime that the
	// process itself had halfway through the call to the peer.
	FieldPeer        = "peer"
	FieldPeerRun     = "peer_run"
	FieldPeerUptime  = "peer_at_ms"
	FieldLocalUptime = "own_at_ms"
	FieldRoundTrip   = "round_trip_ms"

	// FieldPeerHeartbeatAge is the age of the last known heartbeat of the peer that
	// LinePeerSeen and LinePeerSilent name.
	FieldPeerHeartbeatAge = "heartbeat_age"
)
