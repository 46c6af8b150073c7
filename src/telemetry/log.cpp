// Writes each event as one JSON object: time, level, event name, and the fields in their order.
#include "telemetry/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <stdexcept>

namespace snowshore::telemetry {

namespace {
// The written names of levels, in the order of the enumerators.
constexpr const char *kLevelNames[] = {"debug", "info", "warning", "error"};
} // namespace

Log::Log(const std::string &destination, LogLevel level) : level_(level) {
  try {
    std::shared_ptr<spdlog::sinks::sink> sink;
    if (destination == "-") {
      sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(destination);
    }
    logger_ = std::make_shared<spdlog::logger>("snowshore", sink);
  } catch (const spdlog::spdlog_ex &error) {
    throw std::runtime_error("cannot write the log to " + destination + ": " + error.what());
  }
  logger_->set_pattern("%v");
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::trace);
}

Log::~Log() = default;

void Log::write(LogLevel level, const char *event, Fields fields) {
  if (!is_enabled(level)) return;
  auto now = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["time"] =
      static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) / 1e6;
  line["level"] = kLevelNames[static_cast<int>(level)];
  line["event"] = event;
  for (const auto &[name, value] : fields) line[name] = value;
  // Titles and headers may hold bytes that are not UTF-8. They are replaced, so that no line is lost.
  logger_->info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

LogLevel parse_log_level(const std::string &name) {
  for (int i = 0; i < 4; ++i) {
    if (name == kLevelNames[i]) return static_cast<LogLevel>(i);
  }
  throw std::invalid_argument("unknown log level '" + name + "'");
}

} // namespace snowshore::telemetry
