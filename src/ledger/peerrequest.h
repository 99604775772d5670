#ifndef FILBERTGW_LEDGER_PEERREQUEST_H
#define FILBERTGW_LEDGER_PEERREQUEST_H

#include "core/time.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Receives the answer of another node; nothing if none arrived in time. */
using PeerAnswer = std::function<void(const std::optional<nlohmann::json> &)>;

/** \brief Sends a request to another node, which answers within \p timeout or not at all. */
using PeerRequest = std::function<void(const std::string &address,
                                       const std::string &type,
                                       const nlohmann::json &body,
                                       Duration timeout,
                                       PeerAnswer answer)>;

} // namespace filbertgw

#endif
