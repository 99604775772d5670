#ifndef FILBERTGW_MEMBERSHIP_DATAGRAM_H
#define FILBERTGW_MEMBERSHIP_DATAGRAM_H

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Largest datagram, in bytes; fits an Ethernet frame with room for tunnel headers, so it is not fragmented. */
constexpr std::size_t maxDatagramBytes = 1200;

/** \brief Payload of a message that carries a list; leaves room for the MAC and the elements before the list. */
constexpr std::size_t maxListBytes = 1100;

/** \brief Bytes of the HMAC-SHA256 that a datagram carries; a blind forgery succeeds once in 2^64 attempts. */
constexpr std::size_t datagramMacBytes = 8;

/** \brief First element of a message. The comments give the elements after it; numbers unless noted otherwise. */
enum class DatagramType : std::uint8_t {
    Heartbeat, ///< sender, incarnation, sequence, config offset, 1 if leaving
    Probe, ///< sender, nonce
    Ack, ///< subject, incarnation, nonce
    ProbeRequest, ///< sender, subject, nonce
    Gossip, ///< sender, then subject, state, incarnation for each; forwarded once
    Join, ///< record
    RecordGossip, ///< sender, records; forwarded once
    Records, ///< sender, records
    Digest, ///< sender, hash of all members
    Buckets, ///< sender, byte string with 64 hashes of 4 bytes
    Entries, ///< sender, 1 if an answer is wanted, buckets as bits, then subject, state, incarnation for each
    RecordRequest, ///< sender, subjects whose records are wanted
};

/** \brief Last DatagramType, for parsing. */
constexpr std::uint64_t lastDatagramType = static_cast<std::uint64_t>(DatagramType::RecordRequest);

/** \brief A message as CBOR followed by its truncated MAC. */
std::string sealDatagram(const nlohmann::json &message, const std::string &key);

/** \brief Bytes that need not be a message, followed by their truncated MAC. */
std::string sealBytes(const std::string &bytes, const std::string &key);

/**
 * \brief The message of a datagram: a non-empty CBOR array whose first element is a DatagramType.
 * \param keys every accepted key.
 * \return nothing if it is too long, has no MAC by one of the keys, or is not such a message.
 */
std::optional<nlohmann::json> openDatagram(const std::string &datagram, const std::vector<std::string> &keys);

/** \brief Reads the elements of a message; one of the wrong type or beyond the end makes it invalid. */
class MessageReader
{
public:
    explicit MessageReader(const nlohmann::json &message);

    DatagramType type() const;
    std::uint64_t number();
    std::string text(std::size_t maxBytes);
    std::string bytes(std::size_t size);
    /** \brief The next element, which is an array. */
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
