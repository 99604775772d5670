#ifndef FILBERTGW_POLICY_MECHANISM_H
#define FILBERTGW_POLICY_MECHANISM_H

#include "core/nametable.h"

#include <array>
#include <cstdint>
#include <set>

namespace filbertgw {

/** \brief Mechanisms of the scheduler; each can be disabled by its name. */
enum class Mechanism : std::uint8_t {
    CostRouting, ///< Off: calls go to the engine with the longest cached prefix, then to the least loaded.
    Moves, ///< Off: a program stays at its home engine while that one is usable.
    Spread, ///< Off: always the cheapest engine instead of a random one among those of similar cost.
    Commitments, ///< Off: load reports are not corrected by the calls that this node has sent since.
    Priority, ///< Off: calls run in the order of arrival.
    Admission, ///< Off: new programs start at once.
    FairShares, ///< Off: all accounts are treated as one.
    Release, ///< Off: caches of ended and moved programs are left to eviction.
    Export, ///< Off: paused programs are left to eviction under memory pressure.
    Limits, ///< Off: endpoints have no adaptive limit.
    Backoff, ///< Off: retries start at once.
    Ejection, ///< Off: failing endpoints stay in use.
    Isolation, ///< Off: requests suspected of a crash are retried beside other requests.
};

template<>
struct NameTable<Mechanism>
{
    static constexpr std::array<std::pair<Mechanism, std::string_view>, 13> entries{{
        {Mechanism::CostRouting, "cost-routing"},
        {Mechanism::Moves, "moves"},
        {Mechanism::Spread, "spread"},
        {Mechanism::Commitments, "commitments"},
        {Mechanism::Priority, "priority"},
        {Mechanism::Admission, "admission"},
        {Mechanism::FairShares, "fair-shares"},
        {Mechanism::Release, "release"},
        {Mechanism::Export, "export"},
        {Mechanism::Limits, "limits"},
        {Mechanism::Backoff, "backoff"},
        {Mechanism::Ejection, "ejection"},
        {Mechanism::Isolation, "isolation"},
    }};
};

/** \brief Mechanisms that are switched off. */
using DisabledMechanisms = std::set<Mechanism>;

} // namespace filbertgw

#endif
