#ifndef FILBERTGW_GATEWAY_EVENTSPLITTER_H
#define FILBERTGW_GATEWAY_EVENTSPLITTER_H

#include <cstddef>
#include <string>

namespace filbertgw {

/** \brief One complete server-sent event. */
struct StreamEvent
{
    std::string bytes_; ///< As received, including the terminating empty line.
    std::string id_; ///< Value of the `id` field, or empty.
    std::string data_; ///< Values of the `data` fields, joined by line feeds.
};

/** \brief Splits a byte stream into server-sent events without changing their bytes. */
class EventSplitter
{
public:
    /** \brief Appends bytes of the stream. \return false if more than maxEventBytes are buffered. */
    bool add(const std::string &chunk);
    /** \brief Extracts the next complete event. \return false if there is none yet. */
    bool next(StreamEvent &event);
    /** \brief True if the stream is inside an event. Valid once next() has returned false. */
    bool isInsideEvent() const;

    static constexpr std::size_t maxEventBytes = 1024 * 1024;

private:
    std::string input_;
    std::size_t consumed_ = 0; ///< Bytes of input_ that belong to extracted events.
};

} // namespace filbertgw

#endif
