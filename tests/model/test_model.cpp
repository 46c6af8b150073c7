#include "model/model_fixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace snowshore;
using namespace snowshore::model;
using namespace snowshore::testing;

namespace {

config::FrontConfig read(const std::string &text) {
  records::Source file{"test.cue", text};
  return config::parse_front_config({&file, 1});
}

Edit update(const char *path, Json value) { return {Edit::Kind::update, parse_path(path), std::move(value)}; }
Edit replace(const char *path, Json value) {
  return {Edit::Kind::replace, parse_path(path), std::move(value)};
}
Edit erase(const char *path) { return {Edit::Kind::remove, parse_path(path), {}}; }

std::string value_at(const std::string &document, const char *path) {
  DataTree tree = test_model().parse(document);
  auto found = test_model().leaves(tree, parse_path(path));
  return found.size() == 1 ? found[0].value.dump() : std::to_string(found.size()) + " leaves";
}

void same_values(const config::FrontConfig &a, const config::FrontConfig &b) {
  REQUIRE(a.decision_settings.size() == b.decision_settings.size());
  for (const auto &[name, value] : a.decision_settings) {
    CAPTURE(name);
    std::string other = b.decision_settings.at(name);
    if (value == other) continue;
    for (std::size_t i = 0, j = 0; i < value.size(); i = value.find(',', i) + 1, j = other.find(',', j) + 1) {
      CHECK(std::stod(value.substr(i)) == Approx(std::stod(other.substr(j))).epsilon(1e-9));
      if (value.find(',', i) == std::string::npos) break;
    }
  }
  CHECK(a.limits.max_open_plays == b.limits.max_open_plays);
  CHECK(a.limits.players.idle_time == Approx(b.limits.players.idle_time));
}

} // namespace

TEST_CASE("the defaults of the YANG model equal those of the record schema") {
  Json full = Json::parse(test_model().to_document(read(kFrontRecord).record));
  // Removes what the record leaves out too, so that the model has to supply it.
  Json &front = full["snowshore:front"];
  Json minimal = Json::object();
  for (const char *name : {"name", "products", "rungs", "rules", "list", "fleet"})
    minimal[name] = front[name];
  minimal["load"]["fields"] = front["load"]["fields"];
  minimal["fleet"].erase("racks");
  minimal["fleet"].erase("rack_uplink");
  minimal["fleet"].erase("weight_meaning");
  minimal["rules"].erase("drain_grace");
  minimal["rules"].erase("answer_slack");
  for (Json &product : minimal["products"]) {
    for (const char *name : {"importance", "set_up", "floor", "rate_factor"}) product.erase(name);
  }
  CHECK(Json::parse(test_model().validate(Json{{"snowshore:front", minimal}}.dump())) == full);
}

TEST_CASE("generated records survive the conversion to a document and back") {
  std::minstd_rand random(11);
  auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  auto time = [&] {
    const char *units[] = {"us", "ms", "s", "m", "h"};
    return "\"" + std::to_string(1 + pick(5000)) + (pick(2) ? "" : "." + std::to_string(pick(10))) +
           units[1 + pick(4)] + "\"";
  };
  auto rate = [&](int minimum) {
    const char *units[] = {"kB/s", "MB/s", "kbit/s", "Mbit/s"};
    return "\"" + std::to_string(minimum) + "." + std::to_string(pick(1000)) + units[pick(4)] + "\"";
  };
  for (int i = 0; i < 150; ++i) {
    int rungs = 1 + pick(6), products = 1 + pick(4);
    std::string text = "name: \"f" + std::to_string(pick(99)) +
                       "\"\nlist: {file: \"a \\\"b\\\" \\\\ c\", catalogue: "
                       "\"t\"}\n";
    text += "fleet: {cells: 9, racks: " + std::to_string(1 + pick(9)) + ", halls: [" +
            (pick(2) ? "\"a\",\"b\"" : "") +
            "], kinds: [{name: \"k\", places: " + std::to_string(1 + pick(50)) + "." +
            std::to_string(pick(100)) + "}], link_per_weight: " + rate(3) + ", rack_uplink: " + rate(0) +
            "}\nproducts: [";
    for (int p = 0; p < products; ++p)
      text += "{name: \"p" + std::to_string(p) + "\", first_frame_target: \"" +
              std::to_string(1 + pick(900)) + "ms\", time_limit: \"" + std::to_string(1 + pick(9)) +
              "s\", top: " + std::to_string(rungs - 1) + ", seats: " + std::to_string(pick(9)) +
              ", importance: 0." + std::to_string(1 + pick(999)) + (pick(2) ? ", set_up: \"keyed\"" : "") +
              "},";
    text += "]\nrungs: [";
    for (int r = 0; r < rungs; ++r)
      text += "{rate: \"" + std::to_string(100 * (r + 1) + pick(99)) +
              "kB/s\", importance: " + std::to_string(r + 1) + "." + std::to_string(pick(9)) + "},";
    text += "]\nrules: {warm_up: " + time() + ", cold_share: 0.25, fall_multiple: 1.5, fall_span: " + time() +
            "}\n";
    text += "load: {fields: [" + std::string(pick(2) ? "\"link\"" : "") +
            "], may_probe: " + (pick(2) ? "true" : "false") + "}\nseed: " + std::to_string(pick(1 << 30)) +
            "\nlimits: {idle_time: " + time() + ", open_plays: " + std::to_string(1 + pick(99999)) + "}\n";
    CAPTURE(text);
    config::FrontConfig record = read(text);
    std::string document = test_model().to_document(record.record);
    config::FrontConfig back = read(test_model().to_record_text(document));
    CHECK(test_model().to_document(back.record) == document);
    same_values(record, back);
    CHECK(back.list_file == record.list_file);
    CHECK(back.seed == record.seed);
    CHECK(back.halls == record.halls);
  }
}

TEST_CASE("edits: accepted ones, with the value that results") {
  const std::string document = test_model().to_document(read(kFrontRecord).record);
  struct Row {
    std::vector<Edit> edits;
    const char *path, *value;
  };
  for (const Row &row : {
           Row{{update("/front/limits/open_plays", 500)}, "/front/limits/open_plays", "500"},
           Row{{update("/snowshore:front/rules/warm_up", 3.5)}, "/front/rules/warm_up", "\"3.5\""},
           Row{{update("/front/rules/warm_up", "3.50")}, "/front/rules/warm_up", "\"3.5\""},
           Row{{update("/front/limits/open_plays", "77")}, "/front/limits/open_plays", "77"},
           Row{{update("/front/products[name=film]", {{"floor", 1}, {"seats", 9}})},
               "/front/products[name=film]/seats",
               "9"},
           Row{{replace("/front/products[name=live]",
                        {{"first_frame_target", "0.5"}, {"time_limit", "1"}, {"top", 1}})},
               "/front/products[name=live]/seats",
               "0"},
           Row{{update("/front/limits/open_plays", 5), erase("/front/limits/open_plays")},
               "/front/limits/open_plays",
               "20000"},
           Row{{erase("/front/products[name=live]")}, "/front/products/name", "\"film\""},
           Row{{erase("/front/products[name=none]")}, "/front/products[name=live]/seats", "5"},
           Row{{update("/front/management/readers", {"ana"}), update("/front/management/readers", {"bo"})},
               "/front/management/readers",
               "[\"ana\",\"bo\"]"},
           Row{{replace("/front/management/readers", {"ana"}), replace("/front/management/readers", {"bo"})},
               "/front/management/readers",
               "[\"bo\"]"},
           Row{{update("/", {{"snowshore:front", {{"limits", {{"connections", 9}}}}}})},
               "/front/limits/connections",
               "9"},
           // Each edit alone violates a constraint; both together satisfy it.
           Row{{update("/front/products[name=film]/time_limit", 0.5),
                update("/front/products[name=film]/first_frame_target", 0.4)},
               "/front/products[name=film]/time_limit",
               "\"0.5\""},
       }) {
    CAPTURE(row.path);
    std::string edited = test_model().edit(document, row.edits);
    CHECK(value_at(edited, row.path) == row.value);
    CHECK(test_model().edit(edited, {}) == edited);
  }
  std::string replaced = test_model().edit(
      document, std::vector{replace("/front/products[name=film]",
                                    Json::parse(document)["snowshore:front"]["products"][0])});
  CHECK(replaced == document); // A replaced entry keeps its position.
}

TEST_CASE("edits: rejected ones, with the kind of the error and the path") {
  const std::string document = test_model().to_document(read(kFrontRecord).record);
  struct Row {
    Edit edit;
    ModelErrorKind kind;
    const char *path;
  };
  using enum ModelErrorKind;
  for (const Row &row : {
           Row{update("/front/limits/open_plays", 0), invalid_value, "open_plays"},
           Row{update("/front/limits/open_plays", "many"), invalid_value, "open_plays"},
           Row{update("/front/limits/open_plays", {{"a", 1}}), invalid_value, "open_plays"},
           Row{update("/front/limits/none", 1), unknown_path, "none"},
           Row{update("/elsewhere", 1), unknown_path, "elsewhere"},
           Row{update("/front/limits", {{"none", 1}}), invalid_value, "limits"},
           Row{update("/front/products[id=film]/floor", 1), unknown_path, "film"},
           Row{update("/front/products/floor", 1), unknown_path, "products"},
           Row{update("/front/products[name=film]", {{"name", "live"}}), invalid_value, "film"},
           Row{update("/front/products[name=new]/floor", 1), constraint_violation, "new"},
           Row{update("/front/products[name=film]/first_frame_target", 9), constraint_violation,
               "first_frame_target"},
           Row{update("/front/products[name=film]/top", 2), constraint_violation, "top"},
           Row{update("/front/rungs[number=1]/rate", 100), constraint_violation, "rate"},
           Row{update("/front/rungs[number=3]", {{"rate", 900}, {"importance", 3}}), constraint_violation,
               "rungs"},
           Row{update("/front/management/listen", "10.0.0.1:9"), constraint_violation, "management"},
           Row{update("/state/service", "serving"), unknown_path, "service"},
           Row{update("/front/products[name=*]/floor", 1), unknown_path, "*"},
           Row{erase("/front/rules/warm_up"), constraint_violation, ""},
           Row{erase("/front"), constraint_violation, ""},
           Row{erase("/front/products[name=film]/name"), unknown_path, "name"},
           Row{update("/front/log/level", "loud"), invalid_value, "level"},
           Row{update("/front/hall", "\xff\xfe"), invalid_value, "hall"},
       }) {
    CAPTURE(path_to_text(row.edit.path), row.edit.value.dump(-1, ' ', true, Json::error_handler_t::replace));
    try {
      test_model().edit(document, {&row.edit, 1});
      FAIL("the edit was accepted");
    } catch (const ModelError &error) {
      CAPTURE(error.what());
      CHECK(error.kind == row.kind);
      CHECK(std::string(error.what()).find(row.path) != std::string::npos);
    }
  }
}

TEST_CASE("diff lists the changed paths and when each change takes effect") {
  const std::string document = test_model().to_document(read(kFrontRecord).record);
  struct Row {
    Edit edit;
    const char *path;
    TakesEffect takes_effect;
  };
  using enum TakesEffect;
  for (const Row &row :
       {Row{update("/front/limits/open_plays", 500), "/front/limits/open_plays", in_service},
        Row{update("/front/products[name=film]/floor", 1), "/front/products[name=film]/floor", in_service},
        Row{erase("/front/products[name=live]"), "/front/products", drained},
        Row{update("/front/load/note_delay", 2), "/front/load/note_delay", drained},
        Row{update("/front/load/fields", {"streams"}), "/front/load/fields", drained},
        Row{update("/front/name", "other"), "/front/name", restart},
        Row{update("/front/management/setters", {"ana"}), "/front/management/setters", in_service}}) {
    CAPTURE(row.path);
    auto changed = test_model().diff(document, test_model().edit(document, {&row.edit, 1}));
    auto found = std::ranges::find(changed, row.path, &Difference::path);
    REQUIRE(found != changed.end());
    CHECK(found->takes_effect == row.takes_effect);
  }
  Json reordered = Json::parse(document);
  std::swap(reordered["snowshore:front"]["products"][0], reordered["snowshore:front"]["products"][1]);
  auto changed = test_model().diff(document, test_model().validate(reordered.dump()));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].takes_effect == drained); // Only the order of the list differs.
}

TEST_CASE("paths: text form, wildcards and covers()") {
  for (const char *text :
       {"/", "/front/products[name=film]/floor", "/front/.../name", "/a[k=x\\]y\\\\z]/b", "/*/x"})
    CHECK(path_to_text(parse_path(text)) == text);
  for (const char *text :
       {"front", "/front/products[name", "/front/products[name=x", "/a[k=1][k=2]", "//x", "/a b", "/a[k=\\"})
    CHECK_THROWS_AS(parse_path(text), ModelError);
  struct Row {
    const char *pattern, *path;
    bool covered;
  };
  for (const Row &row : {Row{"/", "/front/limits", true}, Row{"/front", "/front/limits/open_plays", true},
                         Row{"/front/limits", "/front", false},
                         Row{"/state/servers[id=*]/strikes", "/state/servers[id=a]/strikes", true},
                         Row{"/state/servers[id=b]", "/state/servers[id=a]/strikes", false},
                         Row{"/front/.../name", "/front/products[name=film]/name", true},
                         Row{"/.../strikes", "/state/servers[id=a]/plays", false},
                         Row{"/*/limits", "/front/limits/x", true}}) {
    CAPTURE(row.pattern, row.path);
    CHECK(covers(parse_path(row.pattern), parse_path(row.path)) == row.covered);
  }
  const std::string document = test_model().to_document(read(kFrontRecord).record);
  DataTree tree = test_model().parse(document);
  CHECK(test_model().leaves(tree, parse_path("/front/products[name=*]/floor")).size() == 2);
  CHECK(test_model().leaves(tree, parse_path("/front/.../name")).size() == 4);
  CHECK(test_model().leaves(tree, parse_path("/front/products[name=it's \"x\"]")).empty());
  CHECK(test_model().subtrees(tree, parse_path("/front/products[name=film]"))[0].value["top"] == 1);
  for (const char *path : {"/front/none", "/*/none", "/state/servers[name=x]"})
    CHECK_THROWS_AS(test_model().leaves(tree, parse_path(path)), ModelError);
}
