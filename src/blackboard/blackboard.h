#ifndef FILBERTGW_BLACKBOARD_BLACKBOARD_H
#define FILBERTGW_BLACKBOARD_BLACKBOARD_H

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <typeindex>

namespace filbertgw {

/**
 * \brief A node's state as typed sections, each written by one controller and read by all.
 *
 * Sections are plain structs that are found by their type. It is used from the decision loop only and has no lock.
 */
class Blackboard
{
public:
    Blackboard();
    ~Blackboard();
    Blackboard(const Blackboard &) = delete;
    Blackboard &operator=(const Blackboard &) = delete;

    /** \brief The section of this type for its one writer; created on first use. */
    template<typename Section>
    Section &write()
    {
        return *static_cast<Section *>(sectionPointer<Section>().get());
    }

    /** \brief The section of this type, for reading; default-constructed if nobody has written it. */
    template<typename Section>
    const Section &read() const
    {
        return *static_cast<const Section *>(const_cast<Blackboard *>(this)->sectionPointer<Section>().get());
    }

    /** \brief Registers how a section is dumped; `name` is its key in the dump. */
    void setDumper(const std::string &name, std::function<nlohmann::json()> dumper);

    /** \brief All sections that have a dumper, by name. \sa setDumper */
    nlohmann::json dump() const;

private:
    template<typename Section>
    std::shared_ptr<void> &sectionPointer()
    {
        std::shared_ptr<void> &entry = sections_[std::type_index(typeid(Section))];
        if (!entry) {
            entry = std::make_shared<Section>();
        }
        return entry;
    }

    std::map<std::type_index, std::shared_ptr<void>> sections_;
    std::map<std::string, std::function<nlohmann::json()>> dumpers_;
};

} // namespace filbertgw

#endif
