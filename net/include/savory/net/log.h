#pragma once

#include "savory/core/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace savory {

// Prepares glog to write to standard error. Call once at the start.
void
StartLog(const std::string& aProgram);

class EventLoop;

// Writes the log to standard output without ever blocking: lines that the
// reader of the output does not take wait in a bounded buffer, and those that
// do not fit are counted and reported by an event. The loop must outlive the
// log's use.
void
StartStdoutLog(EventLoop& aLoop, const std::string& aProgram);

// Writes what is still buffered, as far as the output takes it.
void
FlushStdoutLog();

// Writes one event: its number and name, then "key=value" fields; values with
// spaces are quoted.
void
LogEvent(
  Event aEvent,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields = {});

} // namespace savory
