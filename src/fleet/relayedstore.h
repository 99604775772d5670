#ifndef FILBERTGW_FLEET_RELAYEDSTORE_H
#define FILBERTGW_FLEET_RELAYEDSTORE_H

#include "fleet/fleet.h"
#include "ledger/peerrequest.h"
#include "store/recordstore.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace filbertgw {

struct RelayedStoreHooks
{
    PeerRequest askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Access to the record store that goes through another node while this one does not reach the store.
 *
 * Only idempotent calls are relayed: reads, and appends without a sequence number.
 */
class RelayedStore
{
public:
    RelayedStore(RecordStore direct, RelayedStoreHooks hooks, std::function<bool()> isReachable, Fleet &fleet);

    /** \brief The store with relaying; must not outlive this object. */
    RecordStore access();
    /** \brief Handles a request of another node. \return false if the type is not one of this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

private:
    void append(StoreAppend request, std::function<void(const StoreAppendResult &)> done);
    void read(const StoreRead &request, std::function<void(const StorePage &)> done);
    void newest(const StoreNewest &request, std::function<void(const StorePage &)> done);
    void serveAppend(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer);
    void serveRead(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer);
    void serveNewest(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer);

    RecordStore direct_;
    RelayedStoreHooks hooks_;
    std::function<bool()> isReachable_;
    Fleet &fleet_;
};

} // namespace filbertgw

#endif
