#ifndef FILBERTGW_NET_PEERLINKREPLY_H
#define FILBERTGW_NET_PEERLINKREPLY_H

#include "net/peerframe.h"
#include "net/peerlinks.h"

#include <functional>
#include <memory>

namespace filbertgw::internal {

struct PeerLink;

/** \brief The answer side of a peer's request. */
class PeerLinkReply : public PeerReply
{
public:
    PeerLinkReply(std::weak_ptr<PeerLinks::Private> links, std::weak_ptr<PeerLink> link, std::uint64_t id);
    PeerLinkReply(const PeerLinkReply &) = delete;
    PeerLinkReply &operator=(const PeerLinkReply &) = delete;
    ~PeerLinkReply() override;

    void part(const nlohmann::json &body) override;
    void finish(const nlohmann::json &body) override;
    void onClosed(std::function<void()> closed) override;
    /** \brief The peer has cancelled the request, or the link is gone. */
    void closedByPeer();

private:
    void end(PeerFrameType type, const nlohmann::json &body);

    std::weak_ptr<PeerLinks::Private> links_;
    std::weak_ptr<PeerLink> link_;
    std::uint64_t id_;
    std::function<void()> closed_;
    bool isOpen_ = true;
    bool wasClosed_ = false;
};

} // namespace filbertgw::internal

#endif
