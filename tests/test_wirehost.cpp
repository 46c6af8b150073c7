// The simulator's protocol: accepted variations of its lines, errors for malformed ones, and the translation
// of settings.
#include "wirehost/host.h"

#include <catch2/catch.hpp>

using namespace snowshore;

static const std::string kOpenLine =
    "OPEN_INSTANCE\ti=3\trandom_seed=7\tareas=a\tclasses.count=1\tclasses.0.name=one\tclasses.0.effect=safe\t"
    "classes.0.deadline=4.0\tclasses.0.on_time=1.0\tclasses.0.worth=1.0\tfamily_info.cells=1\tfamily_info."
    "class_floor=0\t"
    "family_info.class_seats=0\tfamily_info.class_top=1\tfamily_info.kind_slots=20\tfamily_info.ladder_kb="
    "100,200\t"
    "family_info.link_unit_kb=1000\tfamily_info.rate_factor=1\tfamily_info.worth_by_rung=0.3,1.0\tgroup_size="
    "1\tindex=0\t"
    "limits.attempts_cap=3\treport.how=answers\treport.names=x0\tskus=k\tsurprise=new";
static const std::string kListLines =
    "LIST\tref=0\tmembers_list=1\nNODE\tnode=77\tcampus=a\tshape=k\tcell=0\trating=4\n";
static const std::string kOrderLine =
    "ORDER\tasset=9\tcorr=00000000000000aB\ttype=one\ti=3\tunknown=1\tmax_rung="
    "1\tspread=1\tstart_cell=0\texpires_in=2";

static std::string run_host(const std::string &input) {
  WireHost host;
  std::string output, reply;
  for (std::size_t from = 0; from < input.size();) {
    std::size_t to = std::min(input.find('\n', from), input.size());
    if (host.process_line(std::string_view(input).substr(from, to - from), reply)) {
      output += reply;
      reply.clear();
    }
    from = to + 1;
  }
  return output;
}

static std::string order_line(const std::string &corr) {
  std::string line = kOrderLine;
  return line.replace(line.find("00000000000000aB"), 16, corr) + "\n";
}

TEST_CASE("wire: batches, fields in any order, unknown fields, reopened instances and ids of ended plays") {
  std::string opening =
      "MARK\ttime=8.5\n" + kOpenLine + "\n" + kListLines + "MEMBERS\tref=0\ti=3\tmode=C\tversion=1\n";
  CHECK(run_host("MARK\ttime=1\nEOB\n\n") == "NEXT\n");
  std::string reply = run_host(opening + order_line("00000000000000ab") + "EOB\n");
  CHECK(reply.find(
            "GRADE\ti=3\tcorr=00000000000000ab\tgrade=1\nATTEMPT\ti=3\tcorr=00000000000000ab\ttry_for=") !=
        std::string::npos);
  CHECK(reply.find("\tnode=77\n") != std::string::npos);
  CHECK(run_host(opening + "TEARDOWN\ti=3\n" + kOpenLine + "\nMEMBERS\ti=3\tmode=C\tversion=1\tref=0\nEOB\n")
            .ends_with("NEXT\n"));
  CHECK(
      run_host(opening +
               "MEMBERS\ti=3\tmode=X\tversion=1\nCANCELLED_BY_CLIENT\ti=3\tcorr=1111111111111111\n"
               "REPLY\ti=3\tcorr=1111111111111111\tround_no=0\tnode=77\tdisposition=done\tcomplete=1\nEOB\n")
          .ends_with("NEXT\n"));
  // MEMBERS refers to the list that had the number at that point of the input.
  reply =
      run_host(opening +
               "LIST\tref=0\tmembers_list=1\nNODE\tnode=78\tcell=0\trating=4\nMEMBERS\ti=3\tmode=F\tversion="
               "2\tref=0\n" +
               order_line("00000000000000ab") + "EOB\n");
  CHECK(reply.find("\tnode=78\n") != std::string::npos);
}

TEST_CASE("wire: malformed input is an error") {
  std::string opening =
      "MARK\ttime=8.5\n" + kOpenLine + "\n" + kListLines + "MEMBERS\ti=3\tmode=C\tversion=1\tref=0\n";
  for (const std::string &line :
       {std::string("NONSENSE\ti=3"), kOrderLine, std::string("ORDER\ti=3\tcorr=00000000000000ab"),
        std::string("TIMER\ti=4\tlabel=1"), std::string("TIMER\ti=3\tlabel=x"), std::string("MARK\ttime=9"),
        std::string("MEMBERS\ti=3\tmode=F\tversion=1\tref=9"),
        std::string("MEMBERS\ti=3\tmode=Q\tversion=1\tref=0"),
        std::string("ECHO\ti=3\tnode=5\tdisposition=done"), std::string("TIMER\ti"),
        order_line("00000000000000ab") + order_line("00000000000000ab")}) {
    CAPTURE(line);
    CHECK_THROWS_AS(run_host(opening + line + "\nEOB\n"), WireError);
  }
  CHECK_THROWS_AS(run_host("TIMER\ti=3\tlabel=1\n"), WireError);
}

TEST_CASE("wire: settings are translated to the engine's names") {
  WireLine line;
  line.parse("OPEN_INSTANCE\ti=3\trandom_seed=7\tgroup_size=2\tclasses.0.on_time=0.8\treport.names=active,"
             "cpu,x1\tother=5");
  DecisionSettings settings = engine_settings(line);
  CHECK(settings["fronts"] == "2");
  CHECK(settings["product.0.first_frame_target"] == "0.8");
  CHECK(settings["load_fields"] == "streams,link_share,uplink");
  CHECK(settings["other"] == "5");
  CHECK(!settings.contains("i"));
}
