//! What goes wrong.

use super::*;

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Drains(of) => {
                self.boxes[of].health = Health::Draining;
                let listed = self.listed(of);
                self.tell_list(&[listed]);
            }
            Fault::Silent(of) => self.boxes[of].health = Health::Silent,
            Fault::FullToOdd(of) => self.boxes[of].full_to_odd = true,
            Fault::Dies(of) => self.dies(of),
            Fault::Back(of) => self.back(of),
            Fault::Restart(broker) => self.restart(broker),
            Fault::Reload => {
                for broker in 0..self.slots.len() {
                    let config = self.plan.config(broker, self.slots[broker].start);
                    let now = self.queue.now();
                    self.with(broker, |node, out| drop(node.reload(now, &config, out)));
                    self.whole_list(broker);
                }
            }
        }
    }
}
