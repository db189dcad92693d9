#pragma once

#include "core/clock.h"
#include "core/instance_record.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// The instances of the fleet as the platform lists them.
///
/// Entries lapse while the platform is away although their instances live. So an entry that is missing after
/// a loss of contact is kept until the instances have had time to list themselves again.
class instance_directory {
public:
    /// One listed instance.
    struct entry {
        instance_record record;
        milliseconds firstSeenAt; ///< When this start was listed first.
        milliseconds coldUntil; ///< When it is expected to run at full speed.
        std::optional<milliseconds> missingSince; ///< No longer listed since the contact came back.
    };

    using change_hook = std::function<void(const entry&, const char* event)>;

    /// @param onChange told of each instance that joins, drains or goes; may be empty.
    explicit instance_directory(change_hook onChange = nullptr);

    /// Takes in a full listing.
    void takeListing(const std::vector<instance_record>& listed, milliseconds now);

    /// Takes in a new or changed entry.
    void put(const instance_record& record, milliseconds now);

    /// Takes in that an entry is gone, or holds nothing that can be used any more.
    void remove(const std::string& id, milliseconds now);

    /// Takes in that the platform can't be reached.
    void onPlatformDisconnected();

    /// Takes in that the platform answers again.
    void onPlatformReconnected(milliseconds now);

    /// Drops entries that are still missing after the time that instances have to list themselves again.
    void tick(milliseconds now);

    /// @return the instances of a service, draining ones included. Of several entries with one address only
    /// the youngest counts: the others have ended and wait for their entries to lapse.
    const std::vector<const entry*>& findService(const std::string& service) const;

    /// @return the instance with that target address, or null.
    const entry* findByTarget(const address& target, const std::string& service) const;

    /// @return the entry of that id, or null.
    const entry* find(const std::string& id) const;

    /// @return all entries by id.
    const std::map<std::string, entry>& getEntries() const { return m_entries; }

private:
    void drop(std::map<std::string, entry>::iterator position, const char* reason);
    void rebuildIndex();
    bool isKeepingMissingEntries(milliseconds now) const;

    change_hook m_onChange;
    std::map<std::string, entry> m_entries;
    std::map<std::string, std::vector<const entry*>> m_byService;
    bool m_isPlatformDisconnected = false;
    milliseconds m_reconnectedAt { -1e9 };
};

} // namespace fuchsiagauge
