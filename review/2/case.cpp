// Case 2: some good answers of playout nodes state a length that does not fit.
#include "../standins/standins.hpp"

using namespace standins;

int main(int count, char **arguments) {
  if (count != 5) cannot_run("usage: case RUN FOLDER RECORD TROUBLE");
  bool trouble = std::string(arguments[4]) != "0";
  constexpr double kTraffic = 100, kInterval = 0.05, kWrongShare = 0.1;

  Loop loop;
  Record record(loop, arguments[3]);
  std::mt19937_64 random(7);
  Channel channel(loop);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Server *> listed;
  int answers = 0, too_short = 0, too_long = 0;
  // The descriptions that playout nodes have made, by session.
  std::map<std::string, std::set<std::string>> made;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<Server>(loop, record, "s-0000000" + std::to_string(i + 1)));
    Server &server = *servers.back();
    server.session_length = 2;
    server.on_started = [&](const std::string &session, const std::string &description) {
      made[session].insert(description);
    };
    server.make_answer = [&, id = server.id](const std::string &session, const std::string &description) {
      std::size_t stated = description.size();
      if (trouble && std::uniform_real_distribution<>(0, 1)(random) < kWrongShare) {
        // Any other length up to twice the right one.
        while (stated == description.size()) stated = random() % (2 * description.size() + 1);
        ++(stated < description.size() ? too_short : too_long);
      }
      ++answers;
      std::string text = Server::answer(session, description, stated);
      record.line("%s answers, stated length %zu of %zu: %s", id.c_str(), stated, description.size(), printable(text).c_str());
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
  record.line("the front end is ready; wrong lengths: %s", trouble ? "yes" : "no");

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
  if (end.empty()) loop.run_for(options.deadline + 1); // the last answers
  end = front.ended();

  int spoilt = 0, started = 0, unanswered = 0;
  for (auto &[id, request] : clients.requests) {
    if (request.answer.empty()) ++unanswered;
    if (request.answer != "STARTED") continue;
    ++started;
    if (made[id].contains(request.description)) continue;
    ++spoilt;
    record.line("served with something that no playout node made: %s: %s", id.c_str(), printable(request.description).c_str());
  }
  record.line("%zu requests, %d played, %d answers of servers, %d with a length too short, %d too long, %d requests without an answer,"
              " %d played with a description that no playout node made",
              clients.requests.size(), started, answers, too_short, too_long, unanswered, spoilt);
  if (started == 0 && end.empty()) return 2;
  bool broken = spoilt > 0;
  record.line(broken ? "rule broken" : "rule kept");
  return broken ? 1 : 0;
}
