use super::*;

#[test]
fn parts_stay_within_the_limit_and_none_is_empty() {
    for limit in 23..5000 {
        let DescriptorBudget { clients, console, servers } = DescriptorBudget::divide(limit);
        assert!(
            clients + console + servers + RESERVED_DESCRIPTORS <= limit,
            "{limit}: {clients} {console} {servers}"
        );
        assert!(clients > 0 && console > 1 && servers > 0, "{limit}");
    }
    // The platform's share for viewers: there is room for a third of the limit at least.
    for limit in [64, 256, 512, 1024] {
        assert!(
            DescriptorBudget::divide(limit).clients * 3 >= limit,
            "{limit}: {:?}",
            DescriptorBudget::divide(limit)
        );
    }
    assert_eq!(DescriptorBudget::divide(1024), DescriptorBudget { clients: 512, console: 64, servers: 432 });
    // The clients that are accepted during shutdown leave each kind of connection its minimum.
    for limit in 23..5000 {
        let budget = DescriptorBudget::divide(limit);
        for server_connections in 0..=budget.servers {
            let last = budget.max_clients_at_shutdown(server_connections);
            assert!(
                last >= budget.clients
                    && last + server_connections + budget.console + RESERVED_DESCRIPTORS <= limit
            );
        }
    }
    // A limit that is far too low does not cause a panic.
    for limit in 0..23 {
        assert!(DescriptorBudget::divide(limit).clients > 0 && DescriptorBudget::divide(limit).servers > 0);
    }
}
