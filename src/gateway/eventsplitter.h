#ifndef FILBERTGW_GATEWAY_EVENTSPLITTER_H
#define FILBERTGW_GATEWAY_EVENTSPLITTER_H

#include <cstddef>
#include <string>

namespace filbertgw {

/** \brief One whole server-sent event. */
struct StreamEvent
{
    std::string bytes_; ///< As it arrived, with the empty line at its end.
    std::string id_; ///< Empty if it has none.
    std::string data_; ///< Data lines, joined by line feeds.
};

/** \brief Cuts a stream of server-sent events into whole events, which keep their bytes. */
class EventSplitter
{
public:
    /** \brief More bytes of the stream. \return false if an event is longer than the bound. */
    bool add(const std::string &chunk);
    /** \brief Takes the next whole event. \return false if there is none yet. */
    bool next(StreamEvent &event);
    /** \brief True if the stream has ended within an event. */
    bool isInsideEvent() const;

    static constexpr std::size_t maxEventBytes = 1024 * 1024;

private:
    std::string input_;
    std::size_t consumed_ = 0; ///< Bytes of input_ that were handed out.
};

} // namespace filbertgw

#endif
