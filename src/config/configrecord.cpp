#include "config/configrecord.h"

namespace filbertgw {

RecordKey keyOf(const nlohmann::json &record)
{
    return {record.at("kind").get<std::string>(), record.at("name").get<std::string>()};
}

bool isRemoval(const nlohmann::json &record)
{
    const auto removed = record.find("removed");
    return removed != record.end() && removed->is_boolean() && removed->get<bool>();
}

std::int64_t
integerOr(const nlohmann::json &object, const char *field, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const auto value = object.find(field);
    if (value == object.end() || !value->is_number_integer()) {
        return fallback;
    }
    // An unsigned value above the signed range is converted to a negative one, which is out of bounds.
    const std::int64_t number = value->get<std::int64_t>();
    return number < min || number > max ? fallback : number;
}

namespace internal {

bool isNestedAtMost(const nlohmann::json &value, int depth)
{
    if (!value.is_structured()) {
        return true;
    }
    if (depth == 0) {
        return false;
    }
    for (const nlohmann::json &item : value) {
        if (!isNestedAtMost(item, depth - 1)) {
            return false;
        }
    }
    return true;
}

std::string pack(const nlohmann::json &record)
{
    std::string packed;
    nlohmann::json::to_cbor(record, packed);
    packed.shrink_to_fit();
    return packed;
}

nlohmann::json unpack(const std::string &packed)
{
    return nlohmann::json::from_cbor(packed, true, false);
}

} // namespace internal

} // namespace filbertgw
