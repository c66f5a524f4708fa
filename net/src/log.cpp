#include "savory/net/log.h"

#include <glog/logging.h>
#include <sstream>

namespace savory {

namespace {

std::string
Quoted(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \t\r\n\"=") == std::string::npos) {
    return aValue;
  }
  std::string text = "\"";
  for (char character : aValue) {
    if (character == '"' || character == '\\') {
      text.push_back('\\');
    }
    text.push_back(character == '\n' || character == '\r' ? ' ' : character);
  }
  return text + "\"";
}

} // namespace

void
StartLog(const std::string& aProgram)
{
  FLAGS_logtostderr = true;
  static std::string program = aProgram;
  google::InitGoogleLogging(program.c_str());
}

void
LogEvent(
  Event aEvent,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields)
{
  const EventRow* found = nullptr;
  for (const auto& row : kEventTable) {
    if (row.mEvent == aEvent) {
      found = &row;
    }
  }
  std::ostringstream line;
  line << 'E' << static_cast<int>(aEvent) << ' '
       << (found ? found->mName : "unknown-event");
  for (const auto& [name, value] : aFields) {
    line << ' ' << name << '=' << Quoted(value);
  }
  switch (found ? found->mSeverity : Severity::Error) {
    case Severity::Info:
      LOG(INFO) << line.str();
      break;
    case Severity::Warning:
      LOG(WARNING) << line.str();
      break;
    case Severity::Error:
      LOG(ERROR) << line.str();
      break;
  }
}

} // namespace savory
