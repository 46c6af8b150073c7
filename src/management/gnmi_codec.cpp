#include "management/gnmi_codec.h"

#include <charconv>

namespace snowshore::management {

using model::Edit;
using model::Json;
using model::ModelError;
using model::ModelErrorKind;
using model::Path;

namespace {
// Limits the nesting of a value's JSON. The model itself has at most six levels.
constexpr int kMaxJsonDepth = 32;
} // namespace

Path decode_path(const gnmi::Path &prefix, const gnmi::Path &path) {
  Path out;
  for (const gnmi::Path *part : {&prefix, &path}) {
    if (!part->origin().empty() && part->origin() != "snowshore" && part->origin() != "rfc7951")
      throw ModelError(ModelErrorKind::unknown_path, "origin '" + part->origin() + "'", "not supported");
    for (const gnmi::PathElem &source : part->elem()) {
      model::PathElement element;
      element.name = source.name();
      if (element.name.starts_with("snowshore:")) element.name = element.name.substr(10);
      for (const auto &[name, value] : source.key()) element.keys[name] = value;
      out.push_back(std::move(element));
    }
  }
  model::path_to_xpath(out); // checks the names
  return out;
}

void encode_path(const Path &path, gnmi::Path &into) {
  for (const model::PathElement &element : path) {
    gnmi::PathElem *target = into.add_elem();
    target->set_name(element.name);
    for (const auto &[name, value] : element.keys) (*target->mutable_key())[name] = value;
  }
}

Json decode_value(const gnmi::TypedValue &value, const Path &at) {
  auto parse = [&](const std::string &text) {
    Json::parser_callback_t depth_limit = [&](int depth, Json::parse_event_t, Json &) {
      if (depth > kMaxJsonDepth)
        throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at),
                         "the value is nested too deeply");
      return true;
    };
    Json parsed = Json::parse(text, depth_limit, false);
    if (parsed.is_discarded())
      throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at), "the value is not valid JSON");
    return parsed;
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
    for (const gnmi::TypedValue &element : value.leaflist_val().element()) {
      if (element.value_case() == gnmi::TypedValue::kLeaflistVal)
        throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at),
                         "a leaf-list must not contain lists");
      out.push_back(decode_value(element, at));
    }
    return out;
  }
  default:
    throw ModelError(ModelErrorKind::invalid_value, model::path_to_text(at),
                     "the encoding of the value is not supported");
  }
}

void encode_value(const Json &value, gnmi::TypedValue &into) {
  into.set_json_ietf_val(value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::vector<Edit> decode_edits(const gnmi::SetRequest &request) {
  std::vector<Edit> edits;
  if (request.union_replace_size() > 0)
    throw ModelError(ModelErrorKind::invalid_value, "union_replace", "not supported");
  for (const gnmi::Path &path : request.delete_())
    edits.push_back({Edit::Kind::remove, decode_path(request.prefix(), path), {}});
  auto add_edit = [&](const gnmi::Update &update, Edit::Kind kind) {
    Path path = decode_path(request.prefix(), update.path());
    Json value = decode_value(update.val(), path);
    edits.push_back({kind, std::move(path), std::move(value)});
  };
  for (const gnmi::Update &update : request.replace()) add_edit(update, Edit::Kind::replace);
  for (const gnmi::Update &update : request.update()) add_edit(update, Edit::Kind::update);
  return edits;
}

bool is_supported(gnmi::Encoding encoding) {
  return encoding == gnmi::Encoding::JSON || encoding == gnmi::Encoding::JSON_IETF;
}

Json decode_extension(const google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &extensions) {
  for (const gnmi_ext::Extension &extension : extensions) {
    if (extension.has_registered_ext() && extension.registered_ext().id() == gnmi_ext::EID_EXPERIMENTAL) {
      Json fields = Json::parse(extension.registered_ext().msg(), nullptr, false);
      if (!fields.is_object())
        throw ModelError(ModelErrorKind::invalid_value, "extension", "not a JSON object");
      return fields;
    }
  }
  return Json::object();
}

void encode_extension(const Json &fields, google::protobuf::RepeatedPtrField<gnmi_ext::Extension> &into) {
  auto *extension = into.Add()->mutable_registered_ext();
  extension->set_id(gnmi_ext::EID_EXPERIMENTAL);
  extension->set_msg(fields.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::optional<std::uint64_t> optional_uint64(const Json &fields, const char *name) {
  auto it = fields.find(name);
  if (it == fields.end()) return std::nullopt;
  if (!it->is_number_unsigned())
    throw ModelError(ModelErrorKind::invalid_value, std::string("extension ") + name,
                     "not an unsigned integer");
  return it->get<std::uint64_t>();
}

} // namespace snowshore::management
