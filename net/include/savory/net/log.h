#pragma once

#include "savory/core/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace savory {

// Initializes glog to write to standard error. Call once per process.
void
StartLog(const std::string& aProgram);

class EventLoop;

// Initializes the log to write to standard output without blocking. Lines that
// the reader of the output has not consumed are kept in a bounded buffer; lines
// that do not fit are dropped, counted and reported by an event. The loop must
// outlive all use of the log.
void
StartStdoutLog(EventLoop& aLoop, const std::string& aProgram);

// Writes as much of the buffered log as the output accepts without blocking.
void
FlushStdoutLog();

// Logs one event: its number and name, then "key=value" fields. Values that are
// empty or contain white space, quotes or "=" are quoted.
void
LogEvent(
  Event aEvent,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields = {});

} // namespace savory
