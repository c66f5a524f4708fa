#pragma once

#include <array>
#include <string_view>

namespace savory {

enum class Severity
{
  Info,
  Warning,
  Error,
};

// Log events. Their numbers are stable and never reused; docs/log-events.md
// lists them, and a test compares the page with this table. 1xx: process
// start, stop and settings; 2xx: configuration; 3xx: calls; 4xx: backend
// servers; 5xx: platform; 6xx: record and bills.
enum class Event
{
  ProcessStarted = 101,
  DrainStarted = 102,
  ProcessStopped = 103,
  AbandonedAtStop = 104,
  SettingsReloaded = 105,
  SettingsRefused = 106,
  ProcessResumed = 107,
  LogLinesDropped = 108,
  ConfigAdopted = 201,
  ConfigRefused = 202,
  ConfigStale = 203,
  RolloutChanged = 204,
  RolloutDriven = 205,
  ZoneEvacuated = 206,
  ZoneReturned = 207,
  RequestRefused = 301,
  RequestFailed = 302,
  RequestPlaced = 303,
  AttemptEnded = 304,
  ModelChosen = 305,
  RequestEnded = 306,
  AnswerJudged = 307,
  CallersCutOff = 320,
  BackendCold = 401,
  BackendLost = 402,
  AgentConnected = 403,
  AgentLost = 404,
  RequestSuspected = 405,
  BackendOrdered = 406,
  BackendOrderFailed = 407,
  RunnerChanged = 408,
  RunnerGone = 409,
  RunnerBlocked = 410,
  SuspectBlocked = 411,
  DrainAnnounced = 412,
  DrainEnded = 413,
  BackpressureBegun = 414,
  BackpressureEnded = 415,
  AnswerHeaderIgnored = 416,
  StoreDown = 501,
  StoreUp = 502,
  HostListFailed = 503,
  RatingFailed = 504,
  DocumentIgnored = 505,
  PeerHeard = 506,
  PeerPulled = 507,
  PeerPullFailed = 508,
  PeerMessageDropped = 509,
  WatchDutyChanged = 510,
  SlotTaken = 601,
  SlotLost = 602,
  BillsWritten = 603,
  WitnessMode = 604,
};

struct EventRow
{
  Event mEvent;
  std::string_view mName;
  Severity mSeverity;
};

inline constexpr std::array<EventRow, 53> kEventTable{ {
  { Event::ProcessStarted, "process-started", Severity::Info },
  { Event::DrainStarted, "drain-started", Severity::Info },
  { Event::ProcessStopped, "process-stopped", Severity::Info },
  { Event::AbandonedAtStop, "abandoned-at-stop", Severity::Warning },
  { Event::SettingsReloaded, "settings-reloaded", Severity::Info },
  { Event::SettingsRefused, "settings-refused", Severity::Error },
  { Event::ProcessResumed, "process-resumed", Severity::Warning },
  { Event::LogLinesDropped, "log-lines-dropped", Severity::Warning },
  { Event::ConfigAdopted, "config-adopted", Severity::Info },
  { Event::ConfigRefused, "config-refused", Severity::Error },
  { Event::ConfigStale, "config-stale", Severity::Warning },
  { Event::RolloutChanged, "rollout-changed", Severity::Warning },
  { Event::RolloutDriven, "rollout-driven", Severity::Info },
  { Event::ZoneEvacuated, "zone-evacuated", Severity::Warning },
  { Event::ZoneReturned, "zone-returned", Severity::Info },
  { Event::RequestRefused, "request-refused", Severity::Info },
  { Event::RequestFailed, "request-failed", Severity::Warning },
  { Event::RequestPlaced, "request-placed", Severity::Info },
  { Event::AttemptEnded, "attempt-ended", Severity::Info },
  { Event::ModelChosen, "model-chosen", Severity::Info },
  { Event::RequestEnded, "request-ended", Severity::Info },
  { Event::AnswerJudged, "answer-judged", Severity::Info },
  { Event::CallersCutOff, "callers-cut-off", Severity::Warning },
  { Event::BackendCold, "backend-cold", Severity::Warning },
  { Event::BackendLost, "backend-lost", Severity::Error },
  { Event::AgentConnected, "agent-connected", Severity::Info },
  { Event::AgentLost, "agent-lost", Severity::Warning },
  { Event::RequestSuspected, "request-suspected", Severity::Warning },
  { Event::BackendOrdered, "backend-ordered", Severity::Info },
  { Event::BackendOrderFailed, "backend-order-failed", Severity::Warning },
  { Event::RunnerChanged, "runner-changed", Severity::Info },
  { Event::RunnerGone, "runner-gone", Severity::Info },
  { Event::RunnerBlocked, "runner-blocked", Severity::Warning },
  { Event::SuspectBlocked, "suspect-blocked", Severity::Error },
  { Event::DrainAnnounced, "drain-announced", Severity::Info },
  { Event::DrainEnded, "drain-ended", Severity::Info },
  { Event::BackpressureBegun, "backpressure-begun", Severity::Info },
  { Event::BackpressureEnded, "backpressure-ended", Severity::Info },
  { Event::AnswerHeaderIgnored, "answer-header-ignored", Severity::Warning },
  { Event::StoreDown, "store-down", Severity::Error },
  { Event::StoreUp, "store-up", Severity::Info },
  { Event::HostListFailed, "host-list-failed", Severity::Warning },
  { Event::RatingFailed, "rating-failed", Severity::Warning },
  { Event::DocumentIgnored, "document-ignored", Severity::Warning },
  { Event::PeerHeard, "peer-heard", Severity::Info },
  { Event::PeerPulled, "peer-pulled", Severity::Info },
  { Event::PeerPullFailed, "peer-pull-failed", Severity::Warning },
  { Event::PeerMessageDropped, "peer-message-dropped", Severity::Warning },
  { Event::WatchDutyChanged, "watch-duty-changed", Severity::Info },
  { Event::SlotTaken, "slot-taken", Severity::Info },
  { Event::SlotLost, "slot-lost", Severity::Warning },
  { Event::BillsWritten, "bills-written", Severity::Info },
  { Event::WitnessMode, "witness-mode", Severity::Warning },
} };

} // namespace savory
