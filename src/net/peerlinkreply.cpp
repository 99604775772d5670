#include "net/peerlinkreply.h"

#include "net/peerlinksprivate.h"

namespace filbertgw::internal {

PeerLinkReply::PeerLinkReply(std::weak_ptr<PeerLinks::Private> links, std::weak_ptr<PeerLink> link, std::uint64_t id)
    : links_(std::move(links))
    , link_(std::move(link))
    , id_(id)
{
}

PeerLinkReply::~PeerLinkReply()
{
    end(PeerFrameType::Broken, nullptr);
}

void PeerLinkReply::part(const nlohmann::json &body)
{
    const PeerLinkPointer link = link_.lock();
    const std::shared_ptr<PeerLinks::Private> links = links_.lock();
    if (isOpen_ && link && links && !links->send(link, encodePeerFrame(PeerFrameType::Part, id_, {}, body))) {
        end(PeerFrameType::Broken, nullptr);
    }
}

void PeerLinkReply::finish(const nlohmann::json &body)
{
    end(PeerFrameType::Finish, body);
}

void PeerLinkReply::onClosed(std::function<void()> closed)
{
    if (isOpen_) {
        closed_ = std::move(closed);
    } else if (wasClosed_) {
        closed();
    }
}

void PeerLinkReply::closedByPeer()
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    wasClosed_ = true;
    const std::function<void()> closed = std::move(closed_);
    closed_ = nullptr;
    if (closed) {
        closed();
    }
}

void PeerLinkReply::end(PeerFrameType type, const nlohmann::json &body)
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    const std::function<void()> dropped = std::move(closed_);
    closed_ = nullptr;
    const PeerLinkPointer link = link_.lock();
    const std::shared_ptr<PeerLinks::Private> links = links_.lock();
    if (!link || !links || link->state_ != PeerLink::State::Open) {
        return;
    }
    link->incoming_.erase(id_);
    // An answer that is too long for a frame never arrives; the peer has to know.
    if (!links->send(link, encodePeerFrame(type, id_, {}, body))) {
        links->send(link, encodePeerFrame(PeerFrameType::Broken, id_, {}, nullptr));
    }
}

} // namespace filbertgw::internal
