// Case 1: some good answers of playout nodes arrive spoilt by noise.
#include "../standins/standins.hpp"

using namespace standins;

int main(int count, char **arguments) {
  if (count != 5) cannot_run("usage: case RUN FOLDER RECORD TROUBLE");
  bool trouble = std::string(arguments[4]) != "0";
  constexpr double kTraffic = 60, kInterval = 0.25, kNoisyShare = 0.1;
  constexpr std::size_t kNoiseBytes = 8;

  Loop loop;
  Record record(loop, arguments[3]);
  std::mt19937_64 random(7);
  Channel channel(loop);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Server *> listed;
  int answers = 0, noisy = 0;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<Server>(loop, record, "s-0000000" + std::to_string(i + 1)));
    Server &server = *servers.back();
    server.make_answer = [&, id = server.id](const std::string &session, const std::string &description) {
      std::string text = Server::answer(session, description);
      ++answers;
      if (trouble && std::uniform_real_distribution<>(0, 1)(random) < kNoisyShare) {
        // A run of bytes somewhere in the answer arrives as noise.
        std::size_t at = random() % (text.size() - kNoiseBytes + 1);
        for (std::size_t b = at; b < at + kNoiseBytes; ++b) text[b] = static_cast<char>(random());
        ++noisy;
      }
      record.line("%s answers: %s", id.c_str(), printable(text).c_str());
      return text;
    };
    listed.push_back(&server);
  }
  FrontOptions options;
  options.run = arguments[1];
  options.folder = arguments[2];
  int port = free_port();
  Front front(options, port, channel.port(), listed);
  Clients clients(loop, record, port);
  front.start();
  wait_until_ready(loop, clients, front);
  record.line("the front end is ready; noise: %s", trouble ? "yes" : "no");

  std::vector<std::shared_ptr<Clients::Line>> lines;
  std::string end;
  double until = loop.now() + kTraffic;
  while (loop.now() < until && end.empty()) {
    lines.push_back(clients.open_line());
    clients.request(lines.back(), options.product, options.deadline, static_cast<int>(random() % 3), 3, 3);
    for (auto &line : lines) clients.close_if_unused(*line);
    loop.run_for(kInterval);
    end = front.ended();
  }
  // The last answers, or what clients see of the front end's end.
  loop.run_for(end.empty() ? options.deadline + 1 : 0.5);
  end = front.ended();

  int unanswered = 0, late = 0, twice = 0, started = 0;
  for (auto &[id, request] : clients.requests) {
    if (request.answer == "STARTED") ++started;
    twice += request.answers > 1;
    // An answer up to half a second after the request's time, with 50 ms of slack, is not lost.
    double last = request.deadline + 0.5 + 0.05;
    if (!request.answer.empty()) {
      late += request.answered_at > last;
    } else if (request.connection_ended || loop.now() > last) {
      ++unanswered;
      record.line("lost: request %s has no answer", id.c_str());
    }
  }
  if (!end.empty()) record.line("the front end has ended by itself: %s; its log ends: %s", end.c_str(), front.log_tail().c_str());
  record.line("%zu requests, %d played, %d answers of servers, %d of them with noise, %d requests without an answer, %d answered too late,"
              " %d answered twice, %s",
              clients.requests.size(), started, answers, noisy, unanswered, late, twice,
              end.empty() ? "the front end runs" : "the front end has crashed");
  if (started == 0 && end.empty()) return 2;
  bool broken = !end.empty() || unanswered > 0 || late > 0 || twice > 0;
  record.line(broken ? "rule broken" : "rule kept");
  return broken ? 1 : 0;
}
