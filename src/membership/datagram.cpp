#include "membership/datagram.h"

#include "core/cbor.h"
#include "core/digest.h"

#include <algorithm>

namespace filbertgw {

namespace internal {

int valueOfDigit(char digit)
{
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

std::string macOf(const std::string &message, const std::string &key)
{
    const std::string hex = hmacSha256(key, message);
    std::string mac;
    for (std::size_t i = 0; i < datagramMacBytes; ++i) {
        mac.push_back(static_cast<char>(valueOfDigit(hex[2 * i]) * 16 + valueOfDigit(hex[2 * i + 1])));
    }
    return mac;
}

nlohmann::json parse(const std::string &message)
{
    return decodeCbor(message);
}

const nlohmann::json &nullJson()
{
    static const nlohmann::json null;
    return null;
}

} // namespace internal

std::string sealDatagram(const nlohmann::json &message, const std::string &key)
{
    std::string bytes;
    nlohmann::json::to_cbor(message, bytes);
    return sealBytes(bytes, key);
}

std::string sealBytes(const std::string &bytes, const std::string &key)
{
    return bytes + internal::macOf(bytes, key);
}

std::optional<nlohmann::json> openDatagram(const std::string &datagram, const std::vector<std::string> &keys)
{
    if (datagram.size() > maxDatagramBytes || datagram.size() <= datagramMacBytes) {
        return std::nullopt;
    }
    const std::string message = datagram.substr(0, datagram.size() - datagramMacBytes);
    const std::string mac = datagram.substr(message.size());
    const bool authentic = std::any_of(keys.begin(), keys.end(), [&](const std::string &key) {
        return equalConstantTime(internal::macOf(message, key), mac);
    });
    if (!authentic) {
        return std::nullopt;
    }
    nlohmann::json parsed = internal::parse(message);
    if (!parsed.is_array() || parsed.empty() || !parsed[0].is_number_unsigned()
        || parsed[0].get<std::uint64_t>() > lastDatagramType) {
        return std::nullopt;
    }
    return parsed;
}

MessageReader::MessageReader(const nlohmann::json &message)
    : message_(message)
{
}

DatagramType MessageReader::type() const
{
    return static_cast<DatagramType>(message_[0].get<std::uint64_t>());
}

const nlohmann::json &MessageReader::next()
{
    if (position_ >= message_.size()) {
        valid_ = false;
        return internal::nullJson();
    }
    return message_[position_++];
}

std::uint64_t MessageReader::number()
{
    const nlohmann::json &value = next();
    if (!value.is_number_unsigned()) {
        valid_ = false;
        return 0;
    }
    return value.get<std::uint64_t>();
}

std::string MessageReader::text(std::size_t maxBytes)
{
    const nlohmann::json &value = next();
    if (!value.is_string() || value.get_ref<const std::string &>().size() > maxBytes) {
        valid_ = false;
        return "";
    }
    return value.get<std::string>();
}

std::string MessageReader::bytes(std::size_t size)
{
    const nlohmann::json &value = next();
    if (!value.is_binary() || value.get_binary().size() != size) {
        valid_ = false;
        return "";
    }
    return std::string(value.get_binary().begin(), value.get_binary().end());
}

const nlohmann::json &MessageReader::array()
{
    const nlohmann::json &value = next();
    if (!value.is_array()) {
        valid_ = false;
        return internal::nullJson();
    }
    return value;
}

bool MessageReader::atEnd() const
{
    return position_ >= message_.size();
}

bool MessageReader::isValid() const
{
    return valid_;
}

} // namespace filbertgw
