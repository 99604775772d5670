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
 * \brief A node's shared state in typed sections; each is written by one controller and read by all.
 *
 * Sections are plain structs and are looked up by their type. Not thread-safe: used from the decision loop only.
 */
class Blackboard
{
public:
    Blackboard();
    ~Blackboard();
    Blackboard(const Blackboard &) = delete;
    Blackboard &operator=(const Blackboard &) = delete;

    /** \brief The section of this type, for the one controller that writes it; created on first use. */
    template<typename Section>
    Section &write()
    {
        return *static_cast<Section *>(sectionPointer<Section>().get());
    }

    /** \brief The section of this type, read-only; default-constructed if it hasn't been written yet. */
    template<typename Section>
    const Section &read() const
    {
        return *static_cast<const Section *>(const_cast<Blackboard *>(this)->sectionPointer<Section>().get());
    }

    /** \brief Sets the function that converts a section to JSON; `name` is the section's key in dump(). */
    void setDumper(const std::string &name, std::function<nlohmann::json()> dumper);

    /** \brief JSON object of all sections with a dumper, by name. \sa setDumper */
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
