#ifndef FILBERTGW_CORE_IDS_H
#define FILBERTGW_CORE_IDS_H

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace filbertgw {

/**
 * \brief A string identifier with a type of its own, so that ids of different kinds can't be mixed up.
 * \tparam Tag incomplete type that names the kind
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &value() const
    {
        return value_;
    }
    bool isEmpty() const
    {
        return value_.empty();
    }

    friend bool operator==(const StrongId &a, const StrongId &b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(const StrongId &a, const StrongId &b)
    {
        return a.value_ != b.value_;
    }
    friend bool operator<(const StrongId &a, const StrongId &b)
    {
        return a.value_ < b.value_;
    }

private:
    std::string value_;
};

using NodeId = StrongId<struct NodeTag>;
using EndpointId = StrongId<struct EndpointTag>;
using ProgramId = StrongId<struct ProgramTag>;
using RequestId = StrongId<struct RequestTag>;
using AccountId = StrongId<struct AccountTag>;
using ModelId = StrongId<struct ModelTag>;
using RecordId = StrongId<struct RecordTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;

/** \brief Position of an entry in a stream of the platform's log; the first entry has offset 1; 0 means none. */
using Offset = std::uint64_t;

} // namespace filbertgw

template<typename Tag>
struct std::hash<filbertgw::StrongId<Tag>>
{
    std::size_t operator()(const filbertgw::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

#endif
