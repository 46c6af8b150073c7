// The structured log: one JSON object a line on standard error or a file, written by spdlog. The parts of
// an event are made before its level is looked at: on a path that is walked often, ask writes() first.
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

enum class Level { debug, info, warning, error };

class Log {
 public:
  using Parts = std::initializer_list<std::pair<const char *, nlohmann::json>>;
  // where: a file's name, or "-" for standard error. Throws std::runtime_error when it cannot be opened.
  explicit Log(const std::string &where, Level level = Level::info);
  ~Log();
  bool writes(Level level) const { return level >= level_; }
  void set_level(Level level) { level_ = level; }
  void event(Level level, const char *event, Parts parts = {});
  void debug(const char *name, Parts parts = {}) { event(Level::debug, name, parts); }
  void info(const char *name, Parts parts = {}) { event(Level::info, name, parts); }
  void warning(const char *name, Parts parts = {}) { event(Level::warning, name, parts); }
  void error(const char *name, Parts parts = {}) { event(Level::error, name, parts); }

 private:
  std::shared_ptr<spdlog::logger> logger_;
  Level level_;
};

Level level_of(const std::string &name); // "debug", "info", "warning", "error"; throws std::invalid_argument

} // namespace snowshore::telemetry
