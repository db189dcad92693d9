#pragma once

#include "core/clock.h"
#include "core/instance_record.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Directory of the fleet's instances, as listed by the platform.
///
/// Entries expire during a platform outage even if their instances are still running. An entry that is
/// missing after an outage is therefore kept until the instances have had time to register again.
class instance_directory {
public:
    /// An instance listed by the platform.
    struct entry {
        instance_record record;
        milliseconds firstSeenAt; ///< When this start of the instance was first listed.
        milliseconds coldUntil; ///< End of the cold start: it is expected to run at full speed from then on.
        /// Set while an entry is kept that went missing during an outage of the platform or just after it.
        std::optional<milliseconds> missingSince;
        bool hasAnnouncedLeaving = false; ///< See markLeaving().

        /// @return whether the instance must not get new requests.
        bool isLeaving() const { return record.isDraining || hasAnnouncedLeaving; }
    };

    /// Receives the entry and one of "joined", "draining", "leaving", "gone" and "not listed again".
    using change_hook = std::function<void(const entry&, const char* event)>;

    /// @param onChange called when an instance joins, starts draining or is removed; may be empty.
    explicit instance_directory(change_hook onChange = nullptr);

    /// Applies a full listing; entries that it doesn't contain are removed as by remove().
    void applyListing(const std::vector<instance_record>& listed, milliseconds now);

    /// Adds or updates an entry.
    void put(const instance_record& record, milliseconds now);

    /// Removes an entry that the platform has deleted or whose content is no longer valid. During an outage
    /// of the platform, and for a grace period after it, the entry is only marked as missing.
    void remove(const std::string& id, milliseconds now);

    /// Records that an instance has itself announced that it is about to stop. Holds for this start of the
    /// instance, also if the platform still lists it as ready or lists it again.
    /// @param startedAtMs the start that has announced it, as in instance_record.
    void markLeaving(const std::string& id, std::uint64_t startedAtMs, milliseconds now);

    /// Records that the platform can't be reached.
    void onPlatformDisconnected();

    /// Records that the platform is reachable again.
    void onPlatformReconnected(milliseconds now);

    /// Records that the platform's store was restored from an older copy, which may lack entries until the
    /// instances have registered again.
    void onPlatformRestored(milliseconds now);

    /// Removes entries that are still missing after the grace period for registering again.
    void tick(milliseconds now);

    /// Sets the services that exist. Entries of other services are kept but count as no instance: they may
    /// come from another writer, and must not hide an instance that has the same address.
    /// @param services names of the services; if empty, all services exist.
    void setServices(std::set<std::string> services);

    /// @return whether a service exists.
    bool hasService(const std::string& service) const;

    /// @return the instances of a service, including draining ones. If several entries have the same address,
    /// only the most recently started one is included: the others have ended, but their entries have not
    /// expired yet.
    const std::vector<const entry*>& findService(const std::string& service) const;

    /// @return the instance of `service` with this target address, or null.
    const entry* findByTarget(const address& target, const std::string& service) const;

    /// @return the entry with this id, or null.
    const entry* find(const std::string& id) const;

    /// @return all entries, keyed by instance id.
    const std::map<std::string, entry>& getEntries() const { return m_entries; }

private:
    void drop(std::map<std::string, entry>::iterator position, const char* reason);
    void rebuildIndex() const;
    bool isKeepingMissingEntries(milliseconds now) const;
    bool hasAnnouncedLeaving(const instance_record& record) const;
    void forgetStoppedInstances(milliseconds now);

    struct leaving_start {
        std::uint64_t startedAtMs = 0;
        milliseconds lastListedAt;
    };

    change_hook m_onChange;
    std::set<std::string> m_services;
    std::map<std::string, entry> m_entries;
    std::map<std::string, leaving_start> m_leavingStarts; ///< Announced by the instances, by id.
    /// Rebuilt on demand, so that a large listing builds it only once.
    mutable std::map<std::string, std::vector<const entry*>> m_byService;
    mutable bool m_isIndexOutdated = false;
    bool m_hasMissingEntries = false; ///< Set if an entry may have `missingSince`.
    bool m_isPlatformDisconnected = false;
    milliseconds m_reconnectedAt { -1e9 };
};

} // namespace fuchsiagauge
