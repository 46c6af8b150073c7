// Tests of reading and writing CMCD and CMSD.
#include "hints/hints.h"

#include <catch2/catch.hpp>

using namespace snowshore::hints;

TEST_CASE("CMCD: malformed and unknown keys are skipped and counted, the others are read") {
  struct Row {
    std::string text;
    int malformed, unknown;
    std::optional<double> top;
    std::optional<std::string> session;
  };
  for (const Row &row :
       {Row{"sid=\"a-1\",tb=6000,su", 0, 0, 6000, "a-1"}, Row{"", 0, 0, {}, {}},
        Row{"tb=x,sid=\"a\"", 1, 0, {}, "a"}, Row{"tb=-5", 1, 0, {}, {}},
        Row{"tb=6000,sid=\"no end", 1, 0, 6000, {}}, Row{"=,=,tb=1", 2, 0, 1, {}},
        Row{"com.other-x=3,tb=7,mtp=99999999999999999999", 1, 1, 7, {}},
        Row{"sid=\"one, two\",tb=2", 0, 0, 2, "one, two"}, Row{"tb=1,tb=2", 0, 0, 2, {}},
        Row{"tb=1,", 1, 0, 1, {}}, Row{"nor=\"..%2f3.mp4\",br=3200,bl=20,sid=tok", 0, 0, {}, "tok"},
        Row{"sid=" + std::string(65, 'a') + ",tb=1", 1, 0, 1, {}}, Row{"st=\"v w\",sf=d", 1, 0, {}, {}},
        Row{"sid=5,su=\"yes\"", 2, 0, {}, {}}, Row{"\x01\xff", 1, 0, {}, {}}}) {
    CAPTURE(row.text);
    Cmcd hints;
    parse_cmcd(row.text, hints);
    CHECK(hints.malformed == row.malformed);
    CHECK(hints.unknown == row.unknown);
    CHECK(hints.top_bitrate_kbps == row.top);
    CHECK(hints.session_id == row.session);
  }
  Cmcd hints;
  for (const char *part : {"tb=100", "sid=\"s\",sf=d", "st=v,su"}) parse_cmcd(part, hints);
  Cmcd back;
  parse_cmcd(write_cmcd(hints), back);
  CHECK(back.startup);
  CHECK(back.streaming_format == "d");
  CHECK(back.session_id == "s");
  std::string many_keys;
  for (int i = 0; i < 100000; ++i) many_keys += "k" + std::to_string(i) + ",";
  Cmcd many;
  parse_cmcd(many_keys, many);
  CHECK(many.unknown + many.malformed >= 100000);
}

TEST_CASE("CMSD: the nearest server's load survives a round trip, malformed keys are skipped") {
  CmsdLoad load;
  load.link_demand = 0.7254, load.streams = 12, load.duress = true;
  CmsdLoad back = parse_cmsd("\"far\";com.snowshore-link=9, " + write_cmsd("near \"1\"\r\n", load));
  CHECK(back.link_demand == 0.725);
  CHECK(back.streams == 12);
  CHECK(back.duress);
  CHECK(!back.uplink_demand);
  CHECK(parse_cmsd("\"s\";com.snowshore-link=full;com.snowshore-uplink=-1").malformed == 2);
  CHECK(parse_cmsd("\"s\";com.snowshore-link=0.5;;").malformed == 1);
  CHECK(!parse_cmsd("(").link_demand);
}
