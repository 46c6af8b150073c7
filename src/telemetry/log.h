// The structured log: one JSON object per line on standard error or in a file, written by spdlog. The fields
// of an event are built before its level is checked; code on a hot path checks is_enabled() first.
#pragma once
#include <nlohmann/json.hpp>

#include <initializer_list>
#include <memory>
#include <string>
#include <utility>

namespace spdlog {
class logger;
}

namespace snowshore::telemetry {

enum class LogLevel { debug, info, warning, error };

// Used from one thread.
class Log {
 public:
  // Names and values of an event, in the order in which they are written.
  using Fields = std::initializer_list<std::pair<const char *, nlohmann::json>>;
  // destination: a file name, or "-" for standard error. Throws std::runtime_error where the file cannot be
  // opened.
  explicit Log(const std::string &destination, LogLevel level = LogLevel::info);
  ~Log();
  // Returns whether events of this level are written.
  bool is_enabled(LogLevel level) const { return level >= level_; }
  void set_level(LogLevel level) { level_ = level; }
  // Writes one event, unless its level is below the log's.
  void write(LogLevel level, const char *event, Fields fields = {});
  void debug(const char *event, Fields fields = {}) { write(LogLevel::debug, event, fields); }
  void info(const char *event, Fields fields = {}) { write(LogLevel::info, event, fields); }
  void warning(const char *event, Fields fields = {}) { write(LogLevel::warning, event, fields); }
  void error(const char *event, Fields fields = {}) { write(LogLevel::error, event, fields); }

 private:
  std::shared_ptr<spdlog::logger> logger_;
  LogLevel level_;
};

// Parses "debug", "info", "warning" or "error". Throws std::invalid_argument for other names.
LogLevel parse_log_level(const std::string &name);

} // namespace snowshore::telemetry
