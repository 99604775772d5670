#ifndef FILBERTGW_NET_PEERFRAME_H
#define FILBERTGW_NET_PEERFRAME_H

#include "core/nametable.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief What a frame of a peer link is for. */
enum class PeerFrameType : std::uint8_t {
    Challenge, ///< Body `{nonce}`; the accepting side begins.
    Hello, ///< Body `{node, address, nonce, mac}`.
    Welcome, ///< Body `{node, mac}`; the link is open.
    Request, ///< Id, name and body; the id belongs to the sender.
    Part, ///< Id of the receiver's request, body.
    Finish, ///< Id of the receiver's request, body.
    Cancel, ///< Id of the sender's request.
    Broken, ///< Id of the receiver's request, which gets no answer.
    Unknown, ///< Of a newer version; ignored.
};

template<>
struct NameTable<PeerFrameType>
{
    static constexpr std::array<std::pair<PeerFrameType, std::string_view>, 8> entries{{
        {PeerFrameType::Challenge, "challenge"},
        {PeerFrameType::Hello, "hello"},
        {PeerFrameType::Welcome, "welcome"},
        {PeerFrameType::Request, "request"},
        {PeerFrameType::Part, "part"},
        {PeerFrameType::Finish, "finish"},
        {PeerFrameType::Cancel, "cancel"},
        {PeerFrameType::Broken, "broken"},
    }};
};

/** \brief One frame: CBOR map `{v, t, id, name, body}`. */
struct PeerFrame
{
    PeerFrameType type_ = PeerFrameType::Unknown;
    std::uint64_t id_ = 0;
    std::string name_; ///< Of a request.
    nlohmann::json body_;
};

/** \brief Encodes a frame. */
std::string encodePeerFrame(PeerFrameType type, std::uint64_t id, const std::string &name, const nlohmann::json &body);

/**
 * \brief Parses a frame. \return nothing if it is no CBOR, has fields of the wrong type or is of another version.
 *
 * Definite lengths only, no tags, text in UTF-8, at most 64 levels and 1,000,000 items: nlohmann::json recurses for
 * each level and needs 16 bytes for an item of one byte.
 */
std::optional<PeerFrame> parsePeerFrame(const std::string &bytes);

} // namespace filbertgw

#endif
