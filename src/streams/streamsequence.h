#ifndef FILBERTGW_STREAMS_STREAMSEQUENCE_H
#define FILBERTGW_STREAMS_STREAMSEQUENCE_H

#include "streams/eventsplitter.h"

#include <string>

namespace filbertgw {

/**
 * \brief Checks that the events of a stream follow one another, over all runs that produce them.
 *
 * Event ids count the events of a stream. The first event of a new stream may have any number.
 */
class StreamSequence
{
public:
    /** \brief The client has the events up to this id. An id that is not a number allows any event to follow. */
    void continueAfter(const std::string &id);
    /** \brief Takes the next event. \return false if it does not follow the last one; it must not be passed on. */
    bool take(const StreamEvent &event);
    /** \brief Id of the last event; empty if the client has none. */
    const std::string &lastId() const;

private:
    std::string lastId_;
};

} // namespace filbertgw

#endif
