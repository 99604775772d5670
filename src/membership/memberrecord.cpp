#include "membership/memberrecord.h"

#include "membership/datagram.h"

namespace filbertgw::internal {

namespace {

/** \brief Maximum length of a text field; a record with five fields of this length still fits in a datagram. */
constexpr std::size_t maxTextBytes = 200;
constexpr std::size_t recordElements = 7;

} // namespace

nlohmann::json encodeMember(const Member &member)
{
    return nlohmann::json::array({member.id_.value(),
                                  member.domain_.value(),
                                  member.udpAddress_,
                                  member.peerAddress_,
                                  member.httpAddress_,
                                  static_cast<std::uint64_t>(member.state_),
                                  member.incarnation_});
}

std::optional<Member> decodeMember(const nlohmann::json &record)
{
    if (!record.is_array() || record.size() != recordElements) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < recordElements - 2; ++i) {
        if (!record[i].is_string() || record[i].get_ref<const std::string &>().size() > maxTextBytes) {
            return std::nullopt;
        }
    }
    const bool areNumbers = record[5].is_number_unsigned() && record[6].is_number_unsigned();
    if (!areNumbers || record[5].get<std::uint64_t>() > static_cast<std::uint64_t>(MemberState::Dead)
        || record[0].get_ref<const std::string &>().empty()) {
        return std::nullopt;
    }
    Member member;
    member.id_ = NodeId(record[0].get<std::string>());
    member.domain_ = FailureDomain(record[1].get<std::string>());
    member.udpAddress_ = record[2].get<std::string>();
    member.peerAddress_ = record[3].get<std::string>();
    member.httpAddress_ = record[4].get<std::string>();
    member.state_ = static_cast<MemberState>(record[5].get<std::uint64_t>());
    member.incarnation_ = record[6].get<std::uint64_t>();
    return member;
}

int precedence(MemberState state)
{
    return static_cast<int>(state);
}

} // namespace filbertgw::internal
