#include "savory/net/log.h"

#include "savory/net/loop.h"

#include <algorithm>
#include <glog/logging.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace savory {

namespace {

std::string
QuoteValue(const std::string& aValue)
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

// The maximum size of the lines that wait for the output; about ten seconds of
// log of a busy host.
constexpr std::size_t kMaxBufferedBytes = 512 * 1024;

// How often the buffer is written, with several lines per system call.
constexpr TimeMs kFlushIntervalMs = 200;

// A glog sink that buffers lines and writes them to standard output as far as
// it accepts them.
class StdoutSink : public google::LogSink
{
public:
  explicit StdoutSink(EventLoop& aLoop)
    : mFlushTimer(Timer::Every(aLoop, kFlushIntervalMs, [this] { Flush(); }))
  {
  }

  void send(google::LogSeverity aSeverity,
            const char*,
            const char*,
            int,
            const struct tm*,
            const char* aMessage,
            std::size_t aSize) override
  {
    if (mBuffer.size() + aSize > kMaxBufferedBytes) {
      ++mDroppedLines;
      return;
    }
    std::int64_t now = WallClockMs();
    mBuffer += std::to_string(now / 1000) + '.';
    mBuffer += std::to_string(1000 + now % 1000).substr(1);
    mBuffer += ' ';
    mBuffer += google::GetLogSeverityName(aSeverity)[0];
    mBuffer += ' ';
    mBuffer.append(aMessage, aSize);
    mBuffer += '\n';
  }

  // Writes only while poll reports the output as writable. The output is not
  // made non-blocking, because that mode is shared with the process that
  // provided it.
  void Flush()
  {
    while (!mBuffer.empty()) {
      pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
      if (poll(&output, 1, 0) <= 0 || !(output.revents & POLLOUT)) {
        return;
      }
      // A pipe that is writable accepts at least this much without blocking.
      std::size_t size =
        std::min<std::size_t>(mBuffer.size(), kMaxPipeWriteBytes);
      ssize_t written = write(STDOUT_FILENO, mBuffer.data(), size);
      if (written <= 0) {
        return;
      }
      mBuffer.erase(0, static_cast<std::size_t>(written));
    }
    if (mDroppedLines > 0) {
      std::size_t dropped = std::exchange(mDroppedLines, 0);
      LogEvent(Event::LogLinesDropped,
               { { "lines", std::to_string(dropped) } });
    }
  }

private:
  static constexpr std::size_t kMaxPipeWriteBytes = 4096;

  std::string mBuffer;
  std::size_t mDroppedLines = 0;
  Timer mFlushTimer;
};

StdoutSink* gStdoutSink = nullptr;

} // namespace

void
StartStdoutLog(EventLoop& aLoop, const std::string& aProgram)
{
  static std::string program = aProgram;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::InitGoogleLogging(program.c_str());
  gStdoutSink = new StdoutSink(aLoop);
  google::AddLogSink(gStdoutSink);
}

void
FlushStdoutLog()
{
  if (gStdoutSink) {
    gStdoutSink->Flush();
  }
}

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
    line << ' ' << name << '=' << QuoteValue(value);
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
