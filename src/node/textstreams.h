#ifndef FILBERTGW_NODE_TEXTSTREAMS_H
#define FILBERTGW_NODE_TEXTSTREAMS_H

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace filbertgw {

/** \brief Passes the generated text of running calls to listeners; a late listener first gets the text so far. */
class TextStreams
{
public:
    struct Listener
    {
        std::function<void(const std::string &text)> text_;
        std::function<void()> rerun_;
    };

    std::uint64_t listen(const ProgramId &program, const RequestId &request, Listener listener);
    void stopListening(std::uint64_t listener);

    /** \brief Appends text of the attempt that is streamed to the listeners. */
    void append(const ProgramId &program, const RequestId &request, const std::string &text);
    /** \brief Discards the text: another attempt is streamed from its beginning. */
    void rerun(const ProgramId &program, const RequestId &request);
    /** \brief Discards the text of a call that has ended. */
    void end(const ProgramId &program, const RequestId &request);

private:
    using Key = std::pair<ProgramId, RequestId>;
    struct Stream
    {
        std::string text_;
        std::map<std::uint64_t, std::shared_ptr<Listener>> listeners_;
    };
    void dropIfUnused(const Key &key);

    std::map<Key, Stream> streams_;
    std::map<std::uint64_t, Key> keys_; ///< By listener.
    std::uint64_t nextId_ = 1;
};

} // namespace filbertgw

#endif
