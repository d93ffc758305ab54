/// Renewals by which the owners of the simulated cell learn that they still own it.
#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRenewal{500};
constexpr milliseconds kEarlyRenewalTime{10};

}  // namespace

/// Renews an owner's authority periodically.
void CellWorld::Renew(std::size_t index) {
  OnOwner(index, [this, index](Owner*) {
    SendRenewal(index);
    After(kRenewal, [this, index] { Renew(index); });
  });
}

/// A renewal is confirmed only for the owner that the group assigned the cell to.
void CellWorld::SendRenewal(std::size_t index) {
  const Owner& owner = *owners_[index];
  const bool confirmed = index == holder_ && !owner.handing_over;
  if (!confirmed || !StoreServes(owner) || owner.cell == nullptr) return;
  if (late_renewals_ == 0) return ConfirmRenewal(index, now_);
  --late_renewals_;
  After(renewal_delay_, [this, index, sent = now_] {
    OnOwner(index, [this, index, sent](Owner*) { ConfirmRenewal(index, sent); });
  });
}

/// An owner renews at once when tasks wait for that.
void CellWorld::RenewEarly(std::size_t index) {
  Owner& owner = *owners_[index];
  if (owner.early_renewal_until > now_ || !owner.cell->awaits_renewal()) return;
  owner.early_renewal_until = now_ + kEarlyRenewalTime;
  After(kEarlyRenewalTime,
        [this, index] { OnOwner(index, [this, index](Owner*) { SendRenewal(index); }); });
}

void CellWorld::ConfirmRenewal(std::size_t index, Instant sent) {
  Owner* owner = owners_[index].get();
  owner->cell->ExtendAuthority(sent + CellOptions().authority);
  SendListings(owner);
  owner->cell->ConfirmListings(sent);
  Pump(index);
}

void CellWorld::DelayRenewals(std::size_t count, milliseconds delay) {
  late_renewals_ = count;
  renewal_delay_ = delay;
}

}  // namespace wigeonlane
