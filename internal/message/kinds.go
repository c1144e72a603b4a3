package message

func (*Hello) kind() Kind            { return KindHello }
func (*Heartbeat) kind() Kind        { return KindHeartbeat }
func (*Offer) kind() Kind            { return KindOffer }
func (*Withdraw) kind() Kind         { return KindWithdraw }
func (*Accepted) kind() Kind         { return KindAccepted }
func (*Refused) kind() Kind          { return KindRefused }
func (*Withdrawn) kind() Kind        { return KindWithdrawn }
func (*TooLate) kind() Kind          { return KindTooLate }
func (*Chunk) kind() Kind            { return KindChunk }
func (*Done) kind() Kind             { return KindDone }
func (*Failed) kind() Kind           { return KindFailed }
func (*Cancel) kind() Kind           { return KindCancel }
func (*Credit) kind() Kind           { return KindCredit }
func (*Attach) kind() Kind           { return KindAttach }
func (*Book) kind() Kind             { return KindBook }
func (*Reserved) kind() Kind         { return KindReserved }
func (*BookCommit) kind() Kind       { return KindBookCommit }
func (*BookResult) kind() Kind       { return KindBookResult }
func (*Seal) kind() Kind             { return KindSeal }
func (*Sealed) kind() Kind           { return KindSealed }
func (*Released) kind() Kind         { return KindReleased }
func (*RecordDigest) kind() Kind     { return KindRecordDigest }
func (*RecordPull) kind() Kind       { return KindRecordPull }
func (*RecordPush) kind() Kind       { return KindRecordPush }
func (*Members) kind() Kind          { return KindMembers }
func (*Usage) kind() Kind            { return KindUsage }
func (*ExpertMap) kind() Kind        { return KindExpertMap }
func (*Release) kind() Kind          { return KindRelease }
func (*EntryReport) kind() Kind      { return KindEntryReport }
func (*ProcessAddresses) kind() Kind { return KindProcessAddresses }
func (*RoutesPull) kind() Kind       { return KindRoutesPull }
func (*RoutesPush) kind() Kind       { return KindRoutesPush }
func (*MapChange) kind() Kind        { return KindMapChange }
func (*SlowServers) kind() Kind      { return KindSlowServers }
func (*CrashReport) kind() Kind      { return KindCrashReport }
func (*TraitsProven) kind() Kind     { return KindTraitsProven }
func (*TraitTrial) kind() Kind       { return KindTraitTrial }
func (*RequestRecurred) kind() Kind  { return KindRequestRecurred }
func (*AnnouncedRates) kind() Kind   { return KindAnnouncedRates }
func (*ServerDepartures) kind() Kind { return KindServerDepartures }
func (*StateSummary) kind() Kind     { return KindStateSummary }

// KindOf returns the message's frame type on the wire.
func KindOf(m Message) Kind { return m.kind() }

// New returns an empty message of the kind, or nil for an unknown kind.
func New(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindOffer:
		return new(Offer)
	case KindWithdraw:
		return new(Withdraw)
	case KindAccepted:
		return new(Accepted)
	case KindRefused:
		return new(Refused)
	case KindWithdrawn:
		return new(Withdrawn)
	case KindTooLate:
		return new(TooLate)
	case KindChunk:
		return new(Chunk)
	case KindDone:
		return new(Done)
	case KindFailed:
		return new(Failed)
	case KindCancel:
		return new(Cancel)
	case KindCredit:
		return new(Credit)
	case KindAttach:
		return new(Attach)
	case KindBook:
		return new(Book)
	case KindReserved:
		return new(Reserved)
	case KindBookCommit:
		return new(BookCommit)
	case KindBookResult:
		return new(BookResult)
	case KindSeal:
		return new(Seal)
	case KindSealed:
		return new(Sealed)
	case KindReleased:
		return new(Released)
	case KindRecordDigest:
		return new(RecordDigest)
	case KindRecordPull:
		return new(RecordPull)
	case KindRecordPush:
		return new(RecordPush)
	case KindMembers:
		return new(Members)
	case KindUsage:
		return new(Usage)
	case KindExpertMap:
		return new(ExpertMap)
	case KindRelease:
		return new(Release)
	case KindEntryReport:
		return new(EntryReport)
	case KindProcessAddresses:
		return new(ProcessAddresses)
	case KindRoutesPull:
		return new(RoutesPull)
	case KindRoutesPush:
		return new(RoutesPush)
	case KindMapChange:
		return new(MapChange)
	case KindSlowServers:
		return new(SlowServers)
	case KindCrashReport:
		return new(CrashReport)
	case KindTraitsProven:
		return new(TraitsProven)
	case KindTraitTrial:
		return new(TraitTrial)
	case KindRequestRecurred:
		return new(RequestRecurred)
	case KindAnnouncedRates:
		return new(AnnouncedRates)
	case KindServerDepartures:
		return new(ServerDepartures)
	case KindStateSummary:
		return new(StateSummary)
	default:
		return nil
	}
}
