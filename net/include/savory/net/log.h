#pragma once

#include "savory/core/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace savory {

// Prepares glog to write to standard error. Call once at the start.
void
StartLog(const std::string& aProgram);

// Writes one event: its number and name, then "key=value" fields; values with
// spaces are quoted.
void
LogEvent(
  Event aEvent,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields = {});

} // namespace savory
