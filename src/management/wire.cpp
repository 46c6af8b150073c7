#include "management/wire.h"

#include <charconv>

namespace snowshore::management {

using model::Edit;
using model::Json;
using model::ModelError;
using model::ModelErrorKind;
using model::Path;

namespace {
constexpr int kDeepest = 32; // of a value's JSON; the model itself is no deeper than six
}

Path decode_path(const gnmi::Path &prefix, const gnmi::Path &path) {
  Path out;
  for (const gnmi::Path *part : {&prefix, &path}) {
    if (!part->origin().empty() && part->origin() != "snowshore" && part->origin() != "rfc7951")
      throw ModelError(ModelErrorKind::unknown_path, "origin '" + part->origin() + "'", "not served here");
    for (const gnmi::PathElem &elem : part->elem()) {
      model::PathElement one;
      one.name = elem.name();
      if (one.name.starts_with("snowshore:")) one.name = one.name.substr(10);
      for (const auto &[name, value] : elem.key()) one.keys[name] = value;
      out.push_back(std::move(one));
    }
  }
  model::path_to_xpath(out); // refuses names that could be none
  return out;
}

void encode_path(const Path &path, gnmi::Path &into) {
  for (const model::PathElement &elem : path) {
    gnmi::PathElem *one = into.add_elem();
    one->set_name(elem.name);
    for (const auto &[name, value] : elem.keys) (*one->mutable_key())[name] = value;
  }
}

Json decode_value(const gnmi::TypedValue &value, const Path &at) {
  auto parse = [&](const std::string &text) {
    Json::parser_callback_t bounded = [&](int depth, Json::parse_event_t, Json &) {
      if (depth > kDeepest)
        throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at), "a value nested too deep");
      return true;
    };
    Json read = Json::parse(text, bounded, false);
    if (read.is_discarded())
      throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at), "a value that is no JSON");
    return read;
  };
  switch (value.value_case()) {
  case gnmi::TypedValue::kJsonIetfVal:
    return parse(value.json_ietf_val());
  case gnmi::TypedValue::kJsonVal:
    return parse(value.json_val());
  case gnmi::TypedValue::kStringVal:
    return value.string_val();
  case gnmi::TypedValue::kAsciiVal:
    return value.ascii_val();
  case gnmi::TypedValue::kIntVal:
    return value.int_val();
  case gnmi::TypedValue::kUintVal:
    return value.uint_val();
  case gnmi::TypedValue::kBoolVal:
    return value.bool_val();
  case gnmi::TypedValue::kDoubleVal:
    return value.double_val();
  case gnmi::TypedValue::kLeaflistVal: {
    Json out = Json::array();
    for (const gnmi::TypedValue &one : value.leaflist_val().element()) {
      if (one.value_case() == gnmi::TypedValue::kLeaflistVal)
        throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at), "a list within a leaf-list");
      out.push_back(decode_value(one, at));
    }
    return out;
  }
  default:
    throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at),
                     "an encoding that is not served");
  }
}

void encode_value(const Json &value, gnmi::TypedValue &into) {
  into.set_json_ietf_val(value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::vector<Edit> decode_edits(const gnmi::SetRequest &request) {
  std::vector<Edit> edits; // in the order that gNMI sets: deletes, replaces, updates
  if (request.union_replace_size() > 0)
    throw ModelError(ModelErrorKind::invalid_value, "union_replace", "not served here");
  for (const gnmi::Path &path : request.delete_())
    edits.push_back({Edit::Kind::remove, decode_path(request.prefix(), path), {}});
  auto with_value = [&](const gnmi::Update &update, Edit::Kind kind) {
    Path path = decode_path(request.prefix(), update.path());
    Json value = decode_value(update.val(), path);
    edits.push_back({kind, std::move(path), std::move(value)});
  };
  for (const gnmi::Update &update : request.replace()) with_value(update, Edit::Kind::replace);
  for (const gnmi::Update &update : request.update()) with_value(update, Edit::Kind::update);
  return edits;
}

bool is_supported(gnmi::Encoding encoding) {
  return encoding == gnmi::Encoding::JSON || encoding == gnmi::Encoding::JSON_IETF;
}

Json decode_extension(const google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &extensions) {
  for (const gnmi_ext::Extension &one : extensions) {
    if (one.has_registered_ext() && one.registered_ext().id() == gnmi_ext::EID_EXPERIMENTAL) {
      Json read = Json::parse(one.registered_ext().msg(), nullptr, false);
      if (!read.is_object()) throw ModelError(ModelErrorKind::invalid_value, "extension", "no JSON object");
      return read;
    }
  }
  return Json::object();
}

void encode_extension(const Json &more, google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &into) {
  auto *one = into.Add()->mutable_registered_ext();
  one->set_id(gnmi_ext::EID_EXPERIMENTAL);
  one->set_msg(more.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::optional<std::uint64_t> optional_uint64(const Json &more, const char *name) {
  auto it = more.find(name);
  if (it == more.end()) return std::nullopt;
  if (!it->is_number_unsigned())
    throw ModelError(ModelErrorKind::invalid_value, std::string("extension ") + name, "no whole number");
  return it->get<std::uint64_t>();
}

} // namespace snowshore::management
