//! Replays of both mixes straight to stand-ins, which cover text, chat and plain calls.

use kumquatdrum_replay::generator::{self, generate};
use kumquatdrum_replay::replay::{self, Baseline, Options};
use kumquatdrum_replay::{Mix, prompt};
use kumquatdrum_testing::{Engine, Fault, Service, engine, service};

/// Two engines and a plain service of one data centre.
struct Pool {
    engines: Vec<Engine>,
    service: Service,
    service_names: (&'static str, &'static str),
}

impl Pool {
    async fn start(mix: Mix) -> Self {
        let service_names = match mix {
            Mix::Toonikaart => ("formula-llm", "salon-api"),
            Mix::Treasury => ("confdraft-llm", "treasury-portal"),
        };
        let mut engines = Vec::new();
        for name in ["e1", "e2"] {
            let options = engine::Options::new(name, service_names.0, "model", "hall-raatuse");
            engines.push(Engine::start(options).await.unwrap());
        }
        let options = service::Options::new("p1", service_names.1, "hall-raatuse");
        Self {
            engines,
            service: Service::start(options).await.unwrap(),
            service_names,
        }
    }

    fn options(&self) -> Options {
        let engines = self.engines.iter();
        let (model, plain) = self.service_names;
        Options {
            endpoints: [
                (
                    model.to_owned(),
                    engines.clone().map(Engine::address).collect(),
                ),
                (plain.to_owned(), vec![self.service.address()]),
            ]
            .into(),
            controls: engines
                .map(Engine::control_address)
                .chain([self.service.control_address()])
                .collect(),
            size: prompt::Size {
                scale: 0.01,
                ..prompt::Size::default()
            },
            ..Options::default()
        }
    }

    async fn shutdown(self) {
        for engine in self.engines {
            engine.shutdown().await;
        }
        self.service.shutdown().await;
    }
}

#[tokio::test]
async fn both_mixes_pass_without_faults() {
    for mix in [Mix::Toonikaart, Mix::Treasury] {
        let pool = Pool::start(mix).await;
        let trace = generate(&generator::Options {
            mix,
            requests: 100,
            span_ms: 200,
            ..generator::Options::default()
        });
        let options = Options {
            baseline: Baseline::ShortAlone,
            ..pool.options()
        };
        let report = replay::run(&trace, &options).await.unwrap();
        assert!(report.passed(), "{report}");
        assert_eq!(report.finished, 100);
        assert_eq!(report.counted.unwrap().repeated, 0);
        let measured: u64 = report
            .first_token
            .iter()
            .map(|band| band.quantiles.count)
            .sum();
        let plain = trace.iter().filter(|entry| entry.is_plain()).count() as u64;
        assert_eq!(measured + plain, 100);
        assert!(report.to_string().contains("passed in"));
        pool.shutdown().await;
    }
}

#[tokio::test]
async fn injected_faults_fail_the_replay() {
    let faults = [
        Fault::Cross {
            count: 1,
            header: false,
        },
        Fault::Cut {
            after_tokens: 1,
            count: 1,
            broken: true,
        },
        Fault::Cut {
            after_tokens: 1,
            count: 1,
            broken: false,
        },
        Fault::Die,
    ];
    let pool = Pool::start(Mix::Toonikaart).await;
    for fault in faults {
        pool.engines[0].inject(&fault);
        let trace = generate(&generator::Options {
            requests: 20,
            span_ms: 20,
            ..generator::Options::default()
        });
        let report = replay::run(&trace, &pool.options()).await.unwrap();
        assert!(!report.passed(), "{fault:?}");
    }
    pool.shutdown().await;
}
