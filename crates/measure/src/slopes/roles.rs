//! The slopes of each role.

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use eyre::OptionExt as _;
use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{
    answer, entity, journal, lists, membership, name, owner, queue, request, routing, time,
    topology, units,
};
use pistachiochute_messages::{codec, forward};

use crate::membership::{Fleet, bytes_per_host_s};
use crate::slopes::{Slope, sample};

/// Endpoints of the size to design for.
const ENDPOINTS: f64 = 930.0;

/// Endpoints of one region that serve one of 31 models, rounded up.
const POOL: f64 = 16.0;

/// Hosts of one failure domain at the size to design for.
const DOMAIN_HOSTS: f64 = 53.0;

/// Client accounts at the size to design for.
const ACCOUNTS: f64 = 430.0;

/// Bytes of a token's event as an engine sends it.
const EVENT_BYTES: f64 = 200.0;

/// Bytes of a long request body, such as a contract of 8,000 tokens.
const BODY_BYTES: f64 = 32_768.0;

/// Records of one journal shard at one action in twenty requests: 4,200 requests/s x 0.05 x 4 s
/// over 16 slots.
const SHARD_RECORDS: f64 = 53.0;

const CALLS: u32 = 2_000;

fn points<F>(sizes: &[usize], mut cost: F) -> Vec<(f64, f64)>
where
    F: FnMut(usize) -> f64,
{
    sizes
        .iter()
        .map(|&size| (size as f64, cost(size)))
        .collect()
}

fn try_points<F>(sizes: &[usize], mut cost: F) -> eyre::Result<Vec<(f64, f64)>>
where
    F: FnMut(usize) -> eyre::Result<f64>,
{
    sizes
        .iter()
        .map(|&size| Ok((size as f64, cost(size)?)))
        .collect()
}

fn model() -> name::ModelName {
    "m1".parse().expect("a constant name")
}

fn account(i: usize) -> name::AccountName {
    format!("account-{i}")
        .parse()
        .expect("a name from a number")
}

fn host_list(hosts: usize, endpoints: usize) -> topology::HostList {
    let addr = std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 1));
    let presence = topology::Presence::Live;
    let domain = |i: usize| entity::DomainId::from_index(i % 4);
    let region = entity::RegionId::from_index(0);
    topology::HostList {
        version: 1,
        domains: (0..4)
            .map(|i| topology::Domain {
                id: domain(i),
                region,
            })
            .collect(),
        hosts: (0..hosts)
            .map(|i| topology::Host {
                id: entity::HostId::from_index(i),
                domain: domain(i),
                addr,
                presence,
            })
            .collect(),
        endpoints: (0..endpoints)
            .map(|i| topology::Endpoint {
                id: entity::EndpointId::from_index(i),
                domain: domain(i),
                addr,
                serves: topology::Serves::Engine {
                    models: vec![model()],
                },
                slots: 36,
                presence,
            })
            .collect(),
    }
}

fn directory(hosts: usize, endpoints: usize) -> routing::candidates::Directory {
    let spread = routing::candidates::Spread::Region;
    routing::candidates::Directory::new(&host_list(hosts, endpoints), spread)
}

/// Time to order the candidates of a chat by the endpoints that serve its model.
pub fn entry_time() -> Slope {
    let target = request::Target::Model(model());
    let cost = |endpoints| {
        let directory = directory(16, endpoints);
        let mut out = routing::candidates::Candidates::new();
        let local = entity::DomainId::from_index(0);
        sample::nanos(CALLS, |i| {
            directory.candidates(u64::from(i), &target, local, &mut out);
            black_box(&out);
        })
    };
    Slope {
        name: "slope_entry_decision_ns",
        role: "entry",
        cost: "ordering the candidates of a request",
        size: "endpoints of the model",
        points: points(&[8, 32, 128, 465], cost),
        unit: "ns",
        design: POOL,
    }
}

/// Memory of the directory by endpoints.
pub fn entry_memory() -> eyre::Result<Slope> {
    let cost = |endpoints| sample::bytes(128, || directory(420, endpoints));
    Ok(Slope {
        name: "slope_entry_directory_bytes",
        role: "entry",
        cost: "directory of 420 hosts",
        size: "endpoints",
        points: try_points(&[116, 465, 930, 1_860], cost)?,
        unit: "B",
        design: ENDPOINTS,
    })
}

fn work(i: u32, cost: u64, pool: &[entity::EndpointId]) -> owner::Work {
    owner::Work {
        id: owner::AttemptId {
            request: request::RequestId(uuid::Uuid::from_u128(u128::from(i))),
            attempt: 0,
        },
        account: account(i as usize % 43),
        weight: 1,
        priority: 0,
        cost: units::Tokens(cost),
        load: cost,
        pool: pool.into(),
        deadline: time::Time::from_secs(1_000),
        may_queue: false,
    }
}

/// Time to admit and finish a request by the endpoints of the pool.
pub fn owner_time() -> Slope {
    let cost = |endpoints: usize| {
        let cfg = owner::Config {
            bound: routing::bound::Settings::default(),
            queue: queue::Bounds::default(),
        };
        let mut owner = owner::Owner::new(cfg);
        let pool: Vec<_> = (0..endpoints).map(entity::EndpointId::from_index).collect();
        let now = time::Time::from_secs(1);
        for &endpoint in &pool {
            owner.open(now, endpoint, owner::Class::Engine, 36);
            owner.record_handover(now, endpoint, 0);
        }
        sample::nanos(CALLS, |i| {
            let endpoint = pool[i as usize % pool.len()];
            let work = work(i, 100, &pool);
            let id = work.id;
            black_box(owner.offer(now, endpoint, work));
            black_box(owner.finish(now, endpoint, id, Some(units::Tokens(90))));
        })
    };
    Slope {
        name: "slope_owner_request_ns",
        role: "owner",
        cost: "admitting and finishing a request",
        size: "endpoints of the pool",
        points: points(&[4, 16, 64, 256], cost),
        unit: "ns",
        design: POOL,
    }
}

/// Time to queue and take a request by the accounts that wait.
pub fn queue_time() -> Slope {
    let cost = |accounts: usize| {
        let bounds = queue::Bounds {
            entries: 4_096,
            account_entries: 64,
        };
        let mut queue = queue::FairQueue::new(bounds);
        let now = time::Time::from_secs(1);
        let entry = |i: usize| queue::Entry {
            account: account(i % accounts),
            weight: 1,
            priority: 0,
            cost: units::Tokens(100),
            deadline: time::Time::from_secs(100_000),
            item: i,
        };
        (0..accounts).for_each(|i| drop(queue.push(now, entry(i))));
        sample::nanos(200, |i| {
            black_box(queue.push(now, entry(i as usize)).is_ok());
            black_box(queue.pop(now));
        })
    };
    Slope {
        name: "slope_owner_queue_ns",
        role: "owner",
        cost: "queueing and taking a request",
        size: "requests that wait at the endpoint",
        points: points(&[8, 64, 256], cost),
        unit: "ns",
        design: 256.0,
    }
}

fn head() -> forward::Forward {
    forward::Forward {
        request: request::RequestId(uuid::Uuid::from_u128(1)),
        attempt: 0,
        hops: 1,
        from: entity::HostId::from_index(7),
        endpoint: entity::EndpointId::from_index(12),
        account: account(7),
        weight: 1,
        priority: 0,
        target: request::Target::Model(model()),
        chat: Some(request::ChatKey(5)),
        idempotency: request::Idempotency::Idempotent,
        idempotency_key: None,
        cost: units::Tokens(1_000),
        prompt: units::Tokens(700),
        remaining: Duration::from_secs(60),
        may_queue: false,
        resume_after: None,
        stream: true,
        method: forward::Method::Post,
        path: Bytes::from_static(b"/v1/chat/completions"),
        content_type: Bytes::from_static(b"application/json"),
        body_len: 0,
        revision: pistachiochute_core::revision::Revision(1),
        loads: smallvec::SmallVec::new(),
    }
}

/// Time to encode, frame and decode a forwarded request by its body.
pub fn forward_time() -> eyre::Result<Slope> {
    let cost = |len: usize| {
        let body = Bytes::from(vec![b'x'; len]);
        let head = forward::Forward {
            body_len: len as u64,
            ..head()
        };
        sample::nanos(CALLS, |_| {
            let mut decoder = codec::Decoder::new();
            decoder.extend(&codec::encode(&head).unwrap_or_default());
            decoder.extend(&body);
            black_box(decoder.take::<forward::Forward>().is_ok());
            black_box(decoder.take_rest());
        })
    };
    Ok(Slope {
        name: "slope_link_forward_ns",
        role: "entry and owner",
        cost: "encoding and decoding a forwarded request",
        size: "bytes of the body",
        points: points(&[1_024, 8_192, 65_536], cost),
        unit: "ns",
        design: BODY_BYTES,
    })
}

fn frame(len: usize) -> answer::Frame {
    answer::Frame {
        request: request::RequestId(uuid::Uuid::from_u128(1)),
        attempt: 0,
        part: answer::Part::Chunk {
            seq: 3,
            event: Some(3),
            data: Bytes::from(vec![b'x'; len]),
        },
    }
}

/// Time to encode and decode one frame of an answer by its bytes.
pub fn frame_time() -> eyre::Result<Slope> {
    let cost = |len: usize| {
        let frame = frame(len);
        sample::nanos(CALLS, |_| {
            let mut decoder = codec::Decoder::new();
            decoder.extend(&codec::encode(&frame).unwrap_or_default());
            black_box(decoder.take::<answer::Frame>().is_ok());
        })
    };
    Ok(Slope {
        name: "slope_link_frame_ns",
        role: "entry and owner",
        cost: "encoding and decoding one event of an answer",
        size: "bytes of the event",
        points: points(&[64, 256, 1_024, 4_096], cost),
        unit: "ns",
        design: EVENT_BYTES,
    })
}

/// Time of one probe and its answer by the hosts of the region.
pub fn member_time() -> Slope {
    let cost = |hosts: usize| {
        let now = time::Time::from_secs(1);
        let list = host_list(hosts, 8);
        let view = |i: usize| {
            let host = &list.hosts[i];
            let mut view =
                membership::Membership::new(membership::Config::default(), host.id, host.domain);
            view.apply_host_list(now, &list);
            view
        };
        let (mut a, mut b) = (view(0), view(4));
        sample::nanos(CALLS, |i| {
            let now = now + Duration::from_millis(50) * i;
            black_box(a.tick(now));
            let probe = membership::Probe {
                from: list.hosts[0].id,
                receiver: None,
                updates: smallvec::SmallVec::new(),
            };
            let (answer, _) = b.handle_probe(now, &probe);
            black_box(a.handle_answer(now, &answer));
        })
    };
    Slope {
        name: "slope_member_exchange_ns",
        role: "domain summary (membership)",
        cost: "a tick, a probe and its answer",
        size: "hosts of the region",
        points: points(&[8, 53, 212], cost),
        unit: "ns",
        design: 4.0 * DOMAIN_HOSTS,
    }
}

/// Control bytes a second of the membership by the hosts of a domain.
pub fn member_bytes() -> eyre::Result<Slope> {
    let cost = |hosts| {
        bytes_per_host_s(Fleet {
            regions: 1,
            domains: 4,
            hosts,
        })
    };
    Ok(Slope {
        name: "slope_member_bytes_s",
        role: "domain summary (membership)",
        cost: "control traffic of the busiest host in its busier direction",
        size: "hosts of a domain, 4 domains",
        points: try_points(&[3, 13, 53], cost)?,
        unit: "B/s",
        design: DOMAIN_HOSTS,
    })
}

fn lists_of(accounts: usize) -> lists::Lists {
    let plan = lists::Plan {
        models: (0..31)
            .map(|i| format!("model-{i}").parse().expect("a name"))
            .collect(),
        services: Vec::new(),
        requests_per_minute: units::PerMinute(600),
        tokens_per_minute: units::PerMinute(600_000),
        in_flight: units::Requests(64),
        priority: 0,
        weight: 1,
        longest_answer: units::Tokens(4_096),
    };
    let plan_name =
        |i: usize| -> name::PlanName { format!("plan-{}", i % 16).parse().expect("a name") };
    lists::Lists {
        accounts: (0..accounts)
            .map(|i| {
                let digest = lists::KeyDigest::of(&i.to_le_bytes());
                (
                    account(i),
                    lists::Account {
                        plan: plan_name(i),
                        key_digests: vec![digest],
                    },
                )
            })
            .collect(),
        plans: (0..16).map(|i| (plan_name(i), plan.clone())).collect(),
    }
}

/// Time to copy the lists for a change by the accounts.
pub fn lists_time() -> Slope {
    let cost = |accounts| {
        let lists = lists_of(accounts);
        sample::nanos(50, |_| {
            black_box(lists.clone());
        })
    };
    Slope {
        name: "slope_lists_copy_ns",
        role: "list watcher",
        cost: "copying the lists for a change",
        size: "accounts",
        points: points(&[43, 430, 4_300], cost),
        unit: "ns",
        design: ACCOUNTS,
    }
}

/// Memory of the lists by the accounts.
pub fn lists_memory() -> eyre::Result<Slope> {
    let cost = |accounts| sample::bytes(16, || lists_of(accounts));
    Ok(Slope {
        name: "slope_lists_bytes",
        role: "list watcher",
        cost: "lists in memory",
        size: "accounts",
        points: try_points(&[4_300, 8_600, 17_200], cost)?,
        unit: "B",
        design: ACCOUNTS,
    })
}

/// Content of a shard in which one swap reserves as many attempts.
fn shard(records: usize) -> eyre::Result<journal::Shard> {
    let cfg = journal::Config {
        slots: 1,
        max_waiting: records,
        ..journal::Config::default()
    };
    let mut journal = journal::Journal::new(cfg);
    let (now, clock) = (time::Time::from_secs(1), journal::UnixMillis(KEY_MILLIS));
    let mut effects = journal::Effects::new();
    for i in 0..records {
        let begin = begin(i)?;
        effects.extend(journal.handle(journal::Event::Begin(begin), now, clock));
    }
    let read = effects.iter().find_map(|effect| match effect {
        journal::Effect::Read { call, .. } => Some(*call),
        _ => None,
    });
    let call = read.ok_or_eyre("the journal reads its shard")?;
    let loaded = journal::Event::Loaded {
        call,
        stored: journal::StoredShard::default(),
    };
    let effects = journal.handle(loaded, now, clock);
    let swap = effects.into_iter().find_map(|effect| match effect {
        journal::Effect::Swap { content, .. } => Some(content),
        _ => None,
    });
    swap.ok_or_eyre("the journal swaps its shard")
}

/// Time in the keys of the shard, in milliseconds of Unix time.
const KEY_MILLIS: u64 = 1_700_000_000_000;

fn begin(i: usize) -> eyre::Result<journal::NewAttempt> {
    let uuid = uuid::Builder::from_unix_timestamp_millis(
        KEY_MILLIS,
        &(i as u128).to_be_bytes()[6..].try_into()?,
    )
    .into_uuid();
    Ok(journal::NewAttempt {
        attempt: journal::AttemptId::new(uuid),
        key: journal::ActionKey::new(&account(i), uuid)?,
        fingerprint: journal::Fingerprint::of(b"/book", &i.to_le_bytes()),
        not_after: journal::UnixMillis(KEY_MILLIS + 60_000),
    })
}

/// Time to encode and decode a journal shard by its records.
pub fn journal_time() -> eyre::Result<Slope> {
    let cost = |records| {
        let shard = shard(records)?;
        Ok(sample::nanos(100, |_| {
            let value = shard.encode().unwrap_or_default();
            black_box(journal::Shard::decode(&value).is_ok());
        }))
    };
    Ok(Slope {
        name: "slope_journal_swap_ns",
        role: "journal shard",
        cost: "encoding and decoding the shard of a swap",
        size: "records of the shard",
        points: try_points(&[16, 128, 512], cost)?,
        unit: "ns",
        design: SHARD_RECORDS,
    })
}

/// Size of a journal shard by its records.
pub fn journal_bytes() -> eyre::Result<Slope> {
    let cost = |records| Ok(shard(records)?.encode()?.len() as f64);
    Ok(Slope {
        name: "slope_journal_shard_bytes",
        role: "journal shard",
        cost: "value of a shard in the key-value service",
        size: "records of the shard",
        points: try_points(&[16, 128, 512], cost)?,
        unit: "B",
        design: SHARD_RECORDS,
    })
}
