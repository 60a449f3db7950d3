// @file log_writer.cc Bounded buffer before standard output.
#include "src/runtime/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace medlargauge {
namespace {

constexpr size_t kMaxBuffered = 256U << 10U;  ///< Bytes.
/// A pipe that can be written takes this much without blocking.
constexpr size_t kChunk = 4096;
constexpr Duration kFlushInterval = Milliseconds(200);

std::string_view LevelName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "";
}

}  // namespace

LogWriter::LogWriter(EventLoop* loop) {
  SetEventSink([this](Severity severity, std::string_view line) {
    Add(severity, line);
  });
  loop->Every(kFlushInterval, [this] { Flush(); });
}

LogWriter::~LogWriter() {
  Flush();
  SetEventSink(nullptr);
}

void LogWriter::Add(Severity severity, std::string_view line) {
  if (m_buffer.size() + line.size() > kMaxBuffered) {
    ++m_dropped;
    return;
  }
  const int64_t wall_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  const auto append = [&](std::string_view level, std::string_view text) {
    m_buffer += "time_ms=" + std::to_string(wall_ms) + " level=";
    m_buffer += level;
    m_buffer += ' ';
    m_buffer += text;
    m_buffer += '\n';
  };
  if (m_dropped > 0) {
    append("warning",
           "event=log_lines_dropped count=" + std::to_string(m_dropped));
    m_dropped = 0;
  }
  append(LevelName(severity), line);
}

void LogWriter::Flush() {
  while (!m_buffer.empty()) {
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const size_t size = std::min(m_buffer.size(), kChunk);
    const ssize_t written = write(STDOUT_FILENO, m_buffer.data(), size);
    if (written <= 0) {
      return;
    }
    m_buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace medlargauge
