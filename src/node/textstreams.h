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

/** \brief Passes the text of running calls on to those who listen; one who comes later gets the text so far. */
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

    /** \brief More text of the attempt that is followed. */
    void append(const ProgramId &program, const RequestId &request, const std::string &text);
    /** \brief Another attempt is followed from now on, from its beginning. */
    void rerun(const ProgramId &program, const RequestId &request);
    /** \brief The call has ended; its text is forgotten. */
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
