#ifndef FILBERTGW_MEMBERSHIP_DATAGRAM_H
#define FILBERTGW_MEMBERSHIP_DATAGRAM_H

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Maximum datagram size in bytes; fits an Ethernet frame with tunnel headers, which avoids fragmentation. */
constexpr std::size_t maxDatagramBytes = 1200;

/** \brief Maximum size of a list in a message, in bytes; leaves space for the MAC and the elements before the list. */
constexpr std::size_t maxListBytes = 1100;

/** \brief Size in bytes of the truncated HMAC-SHA256 of a datagram; a blind forgery succeeds once in 2^64 attempts. */
constexpr std::size_t datagramMacBytes = 8;

/** \brief First element of a message. The comments list the elements after it, which are numbers unless noted. */
enum class DatagramType : std::uint8_t {
    Heartbeat, ///< sender, incarnation, sequence, config offset, 1 if leaving
    Probe, ///< sender, nonce
    Ack, ///< subject, incarnation, nonce
    ProbeRequest, ///< sender, subject, nonce
    Gossip, ///< sender, then subject, state, incarnation for each; receivers forward it once
    Join, ///< record
    RecordGossip, ///< sender, records; receivers forward it once
    Records, ///< sender, records
    Digest, ///< sender, hash of all members
    Buckets, ///< sender, byte string of 64 bucket hashes, 4 bytes each
    Entries, ///< sender, 1 to request a reply, bit mask of buckets, then subject, state, incarnation for each
    RecordRequest, ///< sender, subjects whose records are requested
};

/** \brief Highest valid DatagramType. */
constexpr std::uint64_t lastDatagramType = static_cast<std::uint64_t>(DatagramType::RecordRequest);

/** \brief Encodes a message as CBOR and appends its truncated MAC. */
std::string sealDatagram(const nlohmann::json &message, const std::string &key);

/** \brief Appends the truncated MAC to bytes that are not necessarily a valid message. */
std::string sealBytes(const std::string &bytes, const std::string &key);

/**
 * \brief Authenticates and decodes a datagram; its message is a non-empty CBOR array that starts with a DatagramType.
 * \param keys all accepted keys.
 * \return nothing if the datagram is too long, its MAC matches none of the keys, or the message is malformed.
 */
std::optional<nlohmann::json> openDatagram(const std::string &datagram, const std::vector<std::string> &keys);

/**
 * \brief Reads the elements of a message in order, starting after its type.
 *
 * An element that is missing, too long or of the wrong type makes the reader invalid.
 */
class MessageReader
{
public:
    explicit MessageReader(const nlohmann::json &message);

    DatagramType type() const;
    std::uint64_t number();
    std::string text(std::size_t maxBytes);
    std::string bytes(std::size_t size);
    const nlohmann::json &array();
    bool atEnd() const;
    bool isValid() const;

private:
    const nlohmann::json &next();

    const nlohmann::json &message_;
    std::size_t position_ = 1;
    bool valid_ = true;
};

} // namespace filbertgw

#endif
