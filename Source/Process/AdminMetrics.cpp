#include "Process/AdminMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace wisteria {

namespace {

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

class AdminMetrics::Private
{
public:
    std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
    prometheus::Family<prometheus::Counter> &changes_ =
        prometheus::BuildCounter()
            .Name("wisteria_config_changes_total")
            .Help("Operators' changes by how they ended at this admin")
            .Register(*registry_);
    prometheus::Counter &accepted_ = changes_.Add({{"outcome", "accepted"}});
    prometheus::Counter &refused_ = changes_.Add({{"outcome", "refused"}});
    prometheus::Counter &notYetKnown_ = changes_.Add({{"outcome", "not_yet_known"}});
    prometheus::Counter &snapshots_ = prometheus::BuildCounter()
                                          .Name("wisteria_config_snapshots_total")
                                          .Help("Snapshots appended by this admin")
                                          .Register(*registry_)
                                          .Add({});
    prometheus::Gauge &version_ =
        gauge(*registry_, "wisteria_config_version", "Offset of the newest accepted change");
    prometheus::Gauge &lag_ =
        gauge(*registry_, "wisteria_config_lag_records", "Records of the log not yet replayed");
    prometheus::Gauge &reachable_ =
        gauge(*registry_, "wisteria_config_log_reachable", "1 while the log answers");
    prometheus::Gauge &blocked_ =
        gauge(*registry_, "wisteria_config_blocked", "1 while the log can't be followed");
    prometheus::Gauge &diverged_ =
        gauge(*registry_, "wisteria_config_diverged", "1 after a snapshot differed from replay");
    prometheus::Gauge &objects_ =
        gauge(*registry_, "wisteria_config_objects", "Declared objects in force");
};

AdminMetrics::AdminMetrics() : private_(std::make_unique<Private>()) { }

AdminMetrics::~AdminMetrics() = default;

std::string AdminMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(private_->registry_->Collect());
}

void AdminMetrics::countChange(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        private_->accepted_.Increment();
        return;
    case ChangeOutcome::Refused:
        private_->refused_.Increment();
        return;
    case ChangeOutcome::NotYetKnown:
        private_->notYetKnown_.Increment();
        return;
    }
}

void AdminMetrics::countSnapshot()
{
    private_->snapshots_.Increment();
}

void AdminMetrics::setFollower(const FollowerStatus &status, std::size_t objects)
{
    const Offset replayed = status.position + 1;
    const Offset lag = status.logEnd > replayed ? status.logEnd - replayed : 0;
    private_->version_.Set(static_cast<double>(status.version));
    private_->lag_.Set(static_cast<double>(lag));
    private_->reachable_.Set(status.logReachable ? 1 : 0);
    private_->blocked_.Set(status.blocked.empty() ? 0 : 1);
    private_->diverged_.Set(status.diverged ? 1 : 0);
    private_->objects_.Set(static_cast<double>(objects));
}

} // namespace wisteria
